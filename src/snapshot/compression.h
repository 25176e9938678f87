// zstd in one step, with a bound on what comes out. Internal to snapshot/.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace copperlead {

std::string Compress(std::string_view bytes);

// @param limit largest size after decompression, in bytes. The size that the compressed bytes
//        state is checked against it before anything is allocated, and is kept to exactly.
// @return kOversized when the stated size exceeds the limit; kBadFrame when no size is stated or
//         the bytes are damaged.
Result<std::string> Decompress(std::string_view compressed, std::size_t limit);

}  // namespace copperlead
