/** Codec of the heartbeat datagrams that readers send. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "mesh/reader_role.h"

namespace copperlead::mesh
{

std::string encode (const ReaderHeartbeat& heartbeat);

/** @returns std::nullopt for malformed input */
std::optional<ReaderHeartbeat> decodeReaderHeartbeat (std::string_view bytes);

} // namespace copperlead::mesh
