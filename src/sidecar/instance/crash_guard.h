/** Keeps requests that crash instances away from them, on all nodes: holds the node's crash ledger,
    tells the other nodes what changes in it and takes what they tell. Of the reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "mesh/crash_ledger.h"
#include "mesh/crash_message.h"
#include "mesh/instance_directory.h"
#include "mesh/recent_answers.h"
#include "sidecar/decision_log.h"
#include "sidecar/earliest_timer.h"

namespace copperlead::sidecar
{

/** Counted since the start. */
struct CrashGuardCounters
{
    std::uint64_t told = 0, heard = 0;   /**< Datagrams. */
    std::uint64_t held = 0, cleared = 0; /**< Requests that became held; and that were cleared. */
    std::uint64_t refused = 0;           /**< Arrivals of held requests at this node. */
};

class CrashGuard : public std::enable_shared_from_this<CrashGuard>
{
public:
    /** @param ownIpToUse  nothing is sent there */
    CrashGuard (std::shared_ptr<Reactor> reactorToUse, const mesh::CrashLimits& limits,
                std::string ownIpToUse, std::shared_ptr<DecisionLog> logToUse);

    /** Sends a datagram to the node at an IP; without it this node keeps what it knows to itself.
     */
    std::function<void (const std::string& ip, const std::string& bytes)> send;

    /** Nodes are told and listened to while an instance beside them is known, or was lately. */
    void setDirectory (const mesh::DirectorySnapshot& directory);

    /** The instance beside this node crashed. */
    void crashed (const mesh::CrashReport& report);

    /** An instance answered a request. */
    void answered (const mesh::RequestIdentity& request);

    /** Nothing when the request may be sent to an instance. */
    std::optional<mesh::Hold> holdOf (const mesh::RequestIdentity& request) const;

    /** A request was refused since it is held. */
    void countRefusal() { ++counts.refused; }

    /** @returns false when the datagram is none of the guard's */
    bool receive (const std::string& ip, std::string_view datagram);

    const CrashGuardCounters& counters() const { return counts; }
    std::size_t suspects() const { return ledger.size(); }

private:
    std::optional<mesh::RequestDigest> suspectOf (const mesh::RequestIdentity& request) const;
    void take (Timestamp now, const mesh::SuspectRecord& record, std::string_view by);

    /** @returns what to tell of a suspect that was answered here lately; nothing when it wasn't */
    std::optional<mesh::SuspectRecord> acquit (Timestamp now, const mesh::RequestDigest& request);
    void tellAll (const std::vector<mesh::SuspectRecord>& records);
    void tell (const std::string& ip, const std::vector<mesh::SuspectRecord>& records);
    void armTelling();
    void tellSome();
    void logChange (Timestamp now, EventKind kind, const mesh::SuspectRecord& record,
                    std::string_view by);

    std::shared_ptr<Reactor> reactor;
    std::string ownIp;
    std::shared_ptr<DecisionLog> log;
    mesh::CrashLedger ledger;
    mesh::RecentAnswers answers;                  /**< Of the instance beside this node. */
    std::unordered_set<std::uint64_t> ownCrashes; /**< Of that instance, as told to all. */
    EarliestTimer timer;                          /**< For what is told again. */
    std::minstd_rand random{ std::random_device{}() };
    std::vector<std::string> others; /**< IPs of the other nodes. */
    std::unordered_set<std::string> known;
    CrashGuardCounters counts;
};

} // namespace copperlead::sidecar
