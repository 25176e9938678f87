/** The datagram by which a reader tells its zone of itself. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "mesh/reader_role.h"

namespace copperlead::mesh
{

std::string encode (const ReaderBeat& beat);

/** @returns nothing for damaged bytes */
std::optional<ReaderBeat> decodeReaderBeat (std::string_view bytes);

} // namespace copperlead::mesh
