/** Finds the instance for one attempt of a request: the one beside this node if it is free, else by
    asking a few others for their load. Of the reactor's thread.
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

/** What a search has come to. */
struct Found
{
    mesh::PollStep step = mesh::PollStep::unheard; /**< take, refuse or unheard. */
    mesh::Choice choice;                           /**< If taken. */
    mesh::HopCause cause = mesh::HopCause::none;   /**< If refused. */
    std::size_t asked = 0, replies = 0;
    bool widened = false; /**< Instances of other zones were asked, too. */
    double tookMs = 0;
};

/** Counted since the start. */
struct SearchCounters
{
    std::uint64_t local = 0; /**< The instance beside this node was free. */
    std::uint64_t widened = 0, widenedFar = 0;
    std::array<std::uint64_t, std::size (mesh::pollStepNames)> ends{};
};

/** What the searches of a node share. */
struct SearchContext
{
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<LastHop> lastHop;
    std::shared_ptr<LoadQueries> queries; /**< Null: nobody is asked. */
    mesh::InstanceChooser* chooser = nullptr;
    std::string ownIp;
    SearchCounters* counts = nullptr;
};

/** One search. Gives no answer once it is destroyed. */
class InstanceSearch : public std::enable_shared_from_this<InstanceSearch>
{
public:
    using Callback = std::function<void (const Found&)>;

    InstanceSearch (const SearchContext& contextToUse, mesh::DirectoryPointer directoryToUse,
                    mesh::ChoiceRequest wantedToUse, mesh::LoadQuery queryToUse);
    ~InstanceSearch();

    /** The callback may come before this returns. */
    void begin (Callback callbackToUse);

private:
    std::optional<mesh::Instance> findLocal() const;
    std::size_t ask (mesh::Proximity proximity);
    void widen();
    void widenFar();
    void awaitOthers (std::size_t further, Milliseconds howLong);
    void armTimer (Milliseconds howLong);
    void follow (mesh::PollStep step);
    void take (const mesh::Instance& instance, const mesh::LoadReply& reply);
    void onTimeUp (Duration overdue, Milliseconds waited);
    void suspectSilent();
    void end (Found found);

    const SearchContext& context;
    mesh::DirectoryPointer directory;
    mesh::ChoiceRequest wanted;
    mesh::LoadQuery query;
    mesh::InstancePoll poll;
    Callback callback;
    Timestamp begunAt{};
    std::uint64_t number = 0;
    int round = 0;
    bool widened = false;
};

} // namespace copperlead::sidecar
