/** Codec of the heartbeat datagrams that readers send. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "mesh/reader_role.h"

namespace copperlead::mesh
{

std::string encode (const ReaderBeat& heartbeat);

/** @returns std::nullopt for malformed input */
std::optional<ReaderBeat> decodeReaderBeat (std::string_view bytes);

} // namespace copperlead::mesh
