/** What nodes tell each other of requests under which instances crashed, by datagrams: at once
   after a crash or a clearing, and again now and then, since any of them may be lost.
*/
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/crash_ledger.h"

namespace copperlead::mesh
{

struct SuspectNews
{
    /** The most that one datagram holds: some 600 bytes with two crashes each. */
    static constexpr std::size_t mostRecords = 15;

    std::vector<SuspectRecord> records;
};

std::string encode (const SuspectNews& news);

/** @returns nothing when the datagram is no whole message of the kind or holds a value out of range
 */
std::optional<SuspectNews> decodeSuspectNews (std::string_view bytes);

} // namespace copperlead::mesh
