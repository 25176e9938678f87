/** The datagrams in which nodes report suspects of crashes to each other (see CrashLedger). They
    are sent at once after a crash or a clearing, and repeated from time to time, because any of
    them may be lost.
*/
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/crash_ledger.h"

namespace copperlead::mesh
{

/** Suspects that one node reports to another. */
struct SuspectUpdate
{
    /** Maximum number of records in one datagram: some 600 bytes with two crashes each. */
    static constexpr std::size_t maxRecords = 15;

    std::vector<SuspectRecord> records;
};

std::string encode (const SuspectUpdate& update);

/** @returns nothing when the datagram isn't a complete message of this kind or holds a value out of
    range
*/
std::optional<SuspectUpdate> decodeSuspectUpdate (std::string_view bytes);

} // namespace copperlead::mesh
