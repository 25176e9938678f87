// One-shot zstd compression, with a limit on the decompressed size. Internal to snapshot/.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace copperlead {

std::string Compress(std::string_view bytes);

// @param limit largest permitted size after decompression, in bytes. The size stated in the frame
//        header is checked against it before memory is allocated; the content must have exactly
//        the stated size.
// @return the decompressed bytes; kOversized when the stated size exceeds the limit; kBadFrame when
//         the header states no size or the bytes are damaged.
Result<std::string> Decompress(std::string_view compressed, std::size_t limit);

}  // namespace copperlead
