/** Keeps requests that crash instances away from the instances of all nodes. Owns the node's crash
    ledger, sends its changes to the other nodes and merges theirs. Runs on the reactor's thread.
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

/** Counters since the process started. */
struct CrashGuardCounters
{
    std::uint64_t updatesSent = 0, updatesReceived = 0; /**< Datagrams sent; and received. */
    /** Requests that became held; and that were cleared. */
    std::uint64_t held = 0, cleared = 0;
    std::uint64_t refused = 0; /**< Held requests that this node refused. */
};

class CrashGuard : public std::enable_shared_from_this<CrashGuard>
{
public:
    /** @param ownIpToUse  address of this node, which is sent nothing */
    CrashGuard (std::shared_ptr<Reactor> reactorToUse, const mesh::CrashLimits& limits,
                std::string ownIpToUse, std::shared_ptr<DecisionLog> logToUse);

    /** Sends a datagram to the node at an IP address. While it is empty, nothing is sent. */
    std::function<void (const std::string& ip, const std::string& bytes)> send;

    /** Sets the nodes to exchange updates with: those beside an instance that is listed or was
        listed recently.
    */
    void setDirectory (const mesh::DirectorySnapshot& directory);

    /** Reports that the instance beside this node crashed. */
    void crashed (const mesh::CrashReport& report);

    /** Reports that an instance answered a request. */
    void answered (const mesh::RequestIdentity& request);

    /** Returns no value if the request may be sent to an instance. */
    std::optional<mesh::Hold> holdOf (const mesh::RequestIdentity& request) const;

    /** Counts a request that was refused because it is held. */
    void countRefusal() { ++counts.refused; }

    /** @returns false if the datagram is not a crash update */
    bool receive (const std::string& ip, std::string_view datagram);

    const CrashGuardCounters& counters() const { return counts; }
    std::size_t suspects() const { return ledger.size(); }

private:
    std::optional<mesh::RequestDigest> digestIfSuspect (const mesh::RequestIdentity& request) const;
    void mergeRecord (Timestamp now, const mesh::SuspectRecord& record, std::string_view by);

    /** Clears a suspect if this node's instance answered it recently.
        @returns the record to send, or no value if nothing was cleared
    */
    std::optional<mesh::SuspectRecord> clearIfAnswered (Timestamp now,
                                                        const mesh::RequestDigest& request);
    void sendToAll (const std::vector<mesh::SuspectRecord>& records);
    void sendRecords (const std::string& ip, const std::vector<mesh::SuspectRecord>& records);
    void armResendTimer();
    void sendToRandomNodes();
    void logChange (Timestamp now, EventKind kind, const mesh::SuspectRecord& record,
                    std::string_view by);

    std::shared_ptr<Reactor> reactor;
    std::string ownIp;
    std::shared_ptr<DecisionLog> log;
    mesh::CrashLedger ledger;
    /** Recent answers of the instance beside this node. */
    mesh::RecentAnswers answers;
    /** Crashes of that instance that were reported to all nodes. */
    std::unordered_set<std::uint64_t> ownCrashes;
    /** Fires when suspects are sent again. */
    EarliestTimer timer;
    std::minstd_rand random{ std::random_device{}() };
    /** IP addresses of the other nodes, for random choice. */
    std::vector<std::string> otherNodes;
    std::unordered_set<std::string> knownNodes; /**< The same addresses, for look-up. */
    CrashGuardCounters counts;
};

} // namespace copperlead::sidecar
