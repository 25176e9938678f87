/** What an instance's answer, or its absence, says about the request's run. */
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

/** A success must be whole, signed, and in the encoding that was asked for (none). */
InstanceVerdict judgeInstanceAnswer (const CallResult& result, const HeaderNames& names);

} // namespace copperlead::sidecar
