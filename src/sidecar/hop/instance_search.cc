#include "sidecar/hop/instance_search.h"

#include <algorithm>
#include <utility>

#include "mesh/avoidance.h"
#include "mesh/milliseconds.h"

namespace copperlead::sidecar
{
namespace
{

// Two random candidates give nearly as good a choice as all instances would, at a cost that does
// not depend on the size of the fleet. With three, the additional queries cost weak nodes more
// processor time and bandwidth than the better choice saved.
constexpr std::size_t sampleSize = 2;

// Covers several round trips to another zone and the time that a busy machine with a tenth of a
// core needs to reply. It is far below any target latency.
constexpr Milliseconds replyTimeout{ 25 };

// The same for other regions, where a round trip takes about 16 ms.
constexpr Milliseconds otherRegionReplyTimeout{ 60 };

Timestamp now() { return SteadyClock().Now(); }

} // namespace

InstanceSearch::InstanceSearch (const SearchContext& contextToUse,
                                mesh::DirectoryPointer directoryToUse,
                                mesh::ChoiceRequest wantedToUse, mesh::LoadQuery queryToUse)
    : context (contextToUse)
    , directory (std::move (directoryToUse))
    , wanted (std::move (wantedToUse))
    , query (std::move (queryToUse))
    , poll (query.usualRunMs, wanted.requestBytes >= mesh::largeBodyBytes)
{
}

InstanceSearch::~InstanceSearch()
{
    callback.Cancel();

    if (number != 0)
        context.queries->forget (number);
}

void InstanceSearch::begin (Callback callbackToUse)
{
    callback = { context.reactor->callbacks(), std::move (callbackToUse) };
    startedAt = now();

    if (context.chooser->locality().hasOtherRegions())
        poll.allowOtherRegions (mesh::toMilliseconds (query.targetLeft));

    const auto local = findLocal();
    mesh::LoadReply localReply;

    if (local)
    {
        query.instanceId = local->id;
        localReply = context.lastHop->forecast (query, false);

        if (poll.endsSearch (localReply))
        {
            ++context.counts->local;
            return choose (*local, localReply);
        }
    }

    if (context.queries == nullptr)
        return end ({});

    number = context.queries->begin (
        [weak = weak_from_this()] (const mesh::LoadReply& reply)
        {
            if (const auto self = weak.lock())
                self->applyStep (self->poll.replied (reply));
        });
    query.number = number;
    const auto asked = ask (mesh::Proximity::sameZone);

    if (local)
    {
        // The local instance takes part in the poll as one that has already replied.
        poll.ask (*local, 0);
        applyStep (poll.replied (localReply));
    }
    else if (asked == 0)
    {
        applyStep (poll.waitExpired());
    }

    if (callback && ! widened)
        armTimer (replyTimeout);
}

std::optional<mesh::Instance> InstanceSearch::findLocal() const
{
    const auto& id = context.lastHop->instanceId();
    const auto listed = directory->byService.find (wanted.service);

    if (listed == directory->byService.end() || id.empty() || wanted.excludes (id) ||
        ! context.chooser->mayPrefer (startedAt, id))
        return std::nullopt;

    const auto found = std::find_if (listed->second.begin(), listed->second.end(),
                                     [&] (const auto& candidate) {
                                         return candidate.instance.id == id &&
                                                candidate.instance.address.ip == context.ownIp;
                                     });

    if (found == listed->second.end() || ! context.chooser->isAllowed (found->instance, wanted))
        return std::nullopt;

    return found->instance;
}

std::size_t InstanceSearch::ask (mesh::Proximity proximity)
{
    auto request = wanted;
    const auto suspects = poll.widensPastLimits() ? mesh::Suspects::drawn : mesh::Suspects::leftOut;

    // Past limits, a local instance that hasn't been asked yet is a suspected one.
    if (suspects == mesh::Suspects::leftOut)
        request.excluded.push_back (context.lastHop->instanceId());

    for (const auto& asked : poll.all())
        request.excluded.push_back (asked.instance.id);

    const auto instances =
        context.chooser->sample (startedAt, *directory, request, sampleSize, proximity, suspects);

    for (const auto& instance : instances)
    {
        query.instanceId = instance.id;
        poll.ask (instance, context.chooser->crossingMs (instance, wanted));
        context.queries->ask (instance.address.ip, query);
    }

    return instances.size();
}

void InstanceSearch::armTimer (Milliseconds timeout)
{
    const auto due = now() + timeout;
    context.reactor->RunAt (due,
                            [weak = weak_from_this(), armed = ++round, due, timeout]
                            {
                                const auto self = weak.lock();

                                if (self != nullptr && self->round == armed)
                                    self->onTimeUp (now() - due, timeout);
                            });
}

void InstanceSearch::onTimeUp (Duration overdue, Milliseconds waited)
{
    // If the timer itself ran this late, replies may have arrived that have not been read yet.
    if (overdue < waited)
        suspectUnanswered();

    applyStep (poll.waitExpired());
}

void InstanceSearch::suspectUnanswered()
{
    for (const auto& asked : poll.all())
        if (! asked.answered)
            context.chooser->suspect (now(), asked.instance.id, mesh::unansweredQueryAvoidance);
}

void InstanceSearch::applyStep (mesh::PollStep step)
{
    if (! callback || step == mesh::PollStep::wait)
        return;

    if (step == mesh::PollStep::take)
        return choose (poll.best().instance, poll.best().reply);

    if (step == mesh::PollStep::widen)
        return widen();

    if (step == mesh::PollStep::widenToOtherRegions)
        return widenToOtherRegions();

    SearchResult found;
    found.step = step;
    found.cause = poll.refusal();
    found.availableMs = poll.availableMs();
    end (found);
}

void InstanceSearch::widen()
{
    widened = true;
    ++context.counts->widened;
    awaitReplies (ask (mesh::Proximity::sameZone) + ask (mesh::Proximity::sameRegion),
                  replyTimeout);
}

void InstanceSearch::widenToOtherRegions()
{
    ++context.counts->widenedToOtherRegions;
    awaitReplies (ask (mesh::Proximity::otherRegion), otherRegionReplyTimeout);
}

void InstanceSearch::awaitReplies (std::size_t queried, Milliseconds timeout)
{
    if (queried == 0)
        return applyStep (poll.waitExpired());

    armTimer (timeout);
}

void InstanceSearch::choose (const mesh::Instance& instance, const mesh::LoadReply& reply)
{
    SearchResult found;
    found.step = mesh::PollStep::take;
    found.choice.instance = instance;
    found.choice.expectedMs = reply.expectedMs;
    found.choice.load = reply.load;
    found.choice.ageMs = mesh::toMilliseconds (now() - startedAt);
    end (found);
}

void InstanceSearch::end (SearchResult found)
{
    ++round; // Invalidates a timer that is still armed.
    ++context.counts->ends[static_cast<std::size_t> (found.step)];
    found.asked = poll.all().size();
    found.replies = static_cast<std::size_t> (std::count_if (
        poll.all().begin(), poll.all().end(), [] (const auto& asked) { return asked.answered; }));
    found.widened = widened;
    found.tookMs = mesh::toMilliseconds (now() - startedAt);
    callback (found);
}

} // namespace copperlead::sidecar
