/** Finds the instance for an attempt of a request: the instance beside this node if it is free,
    otherwise one of a few instances whose load is queried. To be used on the reactor's thread only.
*/
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>

#include "mesh/instance_chooser.h"
#include "mesh/instance_poll.h"
#include "sidecar/hop/load_queries.h"
#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{

/** The outcome of a search. */
struct SearchResult
{
    mesh::PollStep step = mesh::PollStep::noUsableReply; /**< The step that ended the search. */
    mesh::Choice choice;                                 /**< Set for `take`. */
    mesh::HopCause cause = mesh::HopCause::none;         /**< Set for `refuse`. */
    double availableMs = 0; /**< For `instanceLimited`: time until an instance accepts a request. */
    std::size_t asked = 0, replies = 0;
    bool widened = false; /**< Instances of other zones were queried as well. */
    double tookMs = 0;
};

/** Counters since the process started. */
struct SearchCounters
{
    std::uint64_t local = 0; /**< The instance beside this node was free. */
    std::uint64_t widened = 0, widenedToOtherRegions = 0;
    std::array<std::uint64_t, std::size (mesh::pollStepNames)> ends{};
};

/** Shared by all searches of a node. */
struct SearchContext
{
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<LastHop> lastHop;
    std::shared_ptr<LoadQueries> queries; /**< Null if load queries are disabled. */
    mesh::InstanceChooser* chooser = nullptr;
    std::string ownIp;
    SearchCounters* counts = nullptr;
};

/** A single search. Its callback is not called once it is destroyed. */
class InstanceSearch : public std::enable_shared_from_this<InstanceSearch>
{
public:
    using Callback = std::function<void (const SearchResult&)>;

    InstanceSearch (const SearchContext& contextToUse, mesh::DirectoryPointer directoryToUse,
                    mesh::ChoiceRequest wantedToUse, mesh::LoadQuery queryToUse);
    ~InstanceSearch();

    /** Starts the search. The callback is never called before this returns. */
    void begin (Callback callbackToUse);

private:
    std::optional<mesh::Instance> findLocal() const;
    std::size_t ask (mesh::Proximity proximity);
    void widen();
    void widenToOtherRegions();
    void awaitReplies (std::size_t queried, Milliseconds timeout);
    void armTimer (Milliseconds timeout);
    void applyStep (mesh::PollStep step);
    void choose (const mesh::Instance& instance, const mesh::LoadReply& reply);
    void onTimeUp (Duration overdue, Milliseconds waited);
    void suspectUnanswered();
    void end (SearchResult found);

    const SearchContext& context;
    mesh::DirectoryPointer directory;
    mesh::ChoiceRequest wanted;
    mesh::LoadQuery query;
    mesh::InstancePoll poll;
    DeferredCallback<SearchResult> callback;
    Timestamp startedAt{};
    std::uint64_t number = 0;
    int round = 0;
    bool widened = false;
};

} // namespace copperlead::sidecar
