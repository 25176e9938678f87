/** Derives from an instance's answer, or from its absence, whether the request has run. */
#pragma once

#include "mesh/hop_header.h"
#include "sidecar/header_names.h"
#include "sidecar/http/http_client.h"

namespace copperlead::sidecar
{

struct InstanceVerdict
{
    mesh::HopOutcome outcome = mesh::HopOutcome::unknown;
    mesh::HopCause cause = mesh::HopCause::none;
};

/** A successful answer must be complete, signed and without a content encoding, since none was
    requested.
*/
InstanceVerdict judgeInstanceAnswer (const CallResult& result, const HeaderNames& names);

} // namespace copperlead::sidecar
