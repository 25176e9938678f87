#include "sidecar/hop/instance_search.h"

#include <algorithm>
#include <utility>

#include "mesh/avoidance.h"
#include "mesh/milliseconds.h"

namespace copperlead::sidecar
{
namespace
{

// Two know nearly as much as all would, and cost as little in a fleet of any size. Three at
// a time cost weak nodes more time and links than their better choice brought (0.656 of the worth,
// mean of five days of trouble on 83 machines, instead of 0.665).
constexpr std::size_t askedAtOnce = 2;

// Several times the way to another zone and back, and what a busy machine of a tenth of a core
// needs; far less than any target.
constexpr Milliseconds longestWait{ 25 };

// The same for other regions, whose way there and back takes some 16 ms.
constexpr Milliseconds longestWaitFar{ 60 };

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
    if (number != 0)
        context.queries->forget (number);
}

void InstanceSearch::begin (Callback callbackToUse)
{
    callback = std::move (callbackToUse);
    begunAt = now();

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
            return take (*local, localReply);
        }
    }

    if (context.queries == nullptr)
        return end ({});

    number = context.queries->begin (
        [weak = weak_from_this()] (const mesh::LoadReply& reply)
        {
            if (const auto self = weak.lock())
                self->follow (self->poll.replied (reply));
        });
    query.number = number;
    const auto asked = ask (mesh::Proximity::sameZone);

    if (local)
    {
        // Counts as one of those that answered, now that others are waited for.
        poll.ask (*local, 0);
        follow (poll.replied (localReply));
    }
    else if (asked == 0)
    {
        follow (poll.timeUp());
    }

    if (callback != nullptr && ! widened)
        armTimer (longestWait);
}

std::optional<mesh::Instance> InstanceSearch::findLocal() const
{
    const auto& id = context.lastHop->instanceId();
    const auto listed = directory->byService.find (wanted.service);

    if (listed == directory->byService.end() || id.empty() || wanted.excludes (id) ||
        ! context.chooser->mayPrefer (begunAt, id))
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
    auto drawn = wanted;
    drawn.excluded.push_back (context.lastHop->instanceId());

    for (const auto& asked : poll.all())
        drawn.excluded.push_back (asked.instance.id);

    const auto instances =
        context.chooser->sample (begunAt, *directory, drawn, askedAtOnce, proximity);

    for (const auto& instance : instances)
    {
        query.instanceId = instance.id;
        poll.ask (instance, context.chooser->crossingMs (instance, wanted));
        context.queries->ask (instance.address.ip, query);
    }

    return instances.size();
}

void InstanceSearch::armTimer (Milliseconds howLong)
{
    const auto due = now() + howLong;
    context.reactor->RunAt (due,
                            [weak = weak_from_this(), armed = ++round, due, howLong]
                            {
                                const auto self = weak.lock();

                                if (self != nullptr && self->round == armed)
                                    self->onTimeUp (now() - due, howLong);
                            });
}

void InstanceSearch::onTimeUp (Duration overdue, Milliseconds waited)
{
    // Whoever comes this late itself has replies that it hasn't read yet.
    if (overdue < waited)
        suspectSilent();

    follow (poll.timeUp());
}

void InstanceSearch::suspectSilent()
{
    for (const auto& asked : poll.all())
        if (! asked.answered)
            context.chooser->suspect (now(), asked.instance.id, mesh::silentAvoidance);
}

void InstanceSearch::follow (mesh::PollStep step)
{
    if (callback == nullptr || step == mesh::PollStep::wait)
        return;

    if (step == mesh::PollStep::take)
        return take (poll.best().instance, poll.best().reply);

    if (step == mesh::PollStep::widen)
        return widen();

    if (step == mesh::PollStep::widenFar)
        return widenFar();

    Found found;
    found.step = step;
    found.cause = poll.refusal();
    end (found);
}

void InstanceSearch::widen()
{
    widened = true;
    ++context.counts->widened;
    awaitOthers (ask (mesh::Proximity::sameZone) + ask (mesh::Proximity::sameRegion), longestWait);
}

void InstanceSearch::widenFar()
{
    ++context.counts->widenedFar;
    awaitOthers (ask (mesh::Proximity::otherRegion), longestWaitFar);
}

void InstanceSearch::awaitOthers (std::size_t further, Milliseconds howLong)
{
    if (further == 0)
        return follow (poll.timeUp());

    armTimer (howLong);
}

void InstanceSearch::take (const mesh::Instance& instance, const mesh::LoadReply& reply)
{
    Found found;
    found.step = mesh::PollStep::take;
    found.choice.instance = instance;
    found.choice.expectedMs = reply.expectedMs;
    found.choice.load = reply.load;
    found.choice.ageMs = mesh::toMilliseconds (now() - begunAt);
    end (found);
}

void InstanceSearch::end (Found found)
{
    ++round; // A timer that is armed is no longer waited for.
    ++context.counts->ends[static_cast<std::size_t> (found.step)];
    found.asked = poll.all().size();
    found.replies = static_cast<std::size_t> (std::count_if (
        poll.all().begin(), poll.all().end(), [] (const auto& asked) { return asked.answered; }));
    found.widened = widened;
    found.tookMs = mesh::toMilliseconds (now() - begunAt);
    const auto told = std::exchange (callback, nullptr);
    told (found);
}

} // namespace copperlead::sidecar
