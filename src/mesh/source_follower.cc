#include "mesh/source_follower.h"

#include <algorithm>
#include <utility>

namespace copperlead::mesh
{

SourceFollower::SourceFollower (const FollowerSettings& settingsToUse, std::uint64_t seed)
    : settings (settingsToUse)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

std::optional<SourceRequest> SourceFollower::poll (Timestamp now)
{
    if (out || paused || now < due)
        return std::nullopt;

    out = true;
    sentAt = now;
    current = listed ? SourceCall::watch : SourceCall::list;

    if (current == SourceCall::watch)
    {
        const auto wait = std::exchange (firstWatch, false) ? Milliseconds (0) : settings.watchWait;
        return SourceRequest{ current, {}, at, wait, wait + settings.answerTime };
    }

    const auto after = pages.empty() ? std::string() : pages.back().key;
    return SourceRequest{ current, after, 0, Milliseconds (0), settings.listTime };
}

void SourceFollower::pause()
{
    paused = true;
    out = false;
}

void SourceFollower::resume (Timestamp now, std::uint64_t revision)
{
    paused = false;
    firstWatch = true;
    due = now;
    at = std::max (at, revision);
    listed = listed || revision > 0;
    pages.clear();
}

bool SourceFollower::hurry (Timestamp now)
{
    const bool rests = ! out && ! paused && failures == 0 && now < due;

    if (! rests && (! out || current != SourceCall::watch || now - sentAt < settings.hurryAfter))
        return false;

    out = false;
    due = now;
    return true;
}

Timestamp SourceFollower::nextDue() const { return out || paused ? Timestamp::max() : due; }

bool SourceFollower::reached (Timestamp now) const
{
    return listed && ! paused && failures == 0 &&
           now - successAt <= settings.watchInterval + settings.watchWait + settings.answerTime;
}

bool SourceFollower::sound (Timestamp now) const { return failures == 0 && now >= unsoundUntil; }

void SourceFollower::failed (Timestamp now)
{
    ++failures;
    unsoundUntil = now + settings.unsoundTime;
    const auto doubled = settings.firstBackoff * (1 << std::min (failures - 1, 4));
    const auto longest = std::min (doubled, settings.longestBackoff);
    std::uniform_int_distribution<std::int64_t> spread (longest.count() / 2, longest.count());
    due = now + Milliseconds (spread (random));
}

std::optional<SourceUpdate> SourceFollower::answered (Timestamp now, SourceAnswer answer)
{
    out = false;

    if (answer.reply == SourceReply::historyLost)
    {
        listed = false;
        pages.clear();
        due = now;
        return std::nullopt;
    }

    if (answer.reply != SourceReply::entries)
    {
        failed (now);
        return std::nullopt;
    }

    failures = 0;
    successAt = now;
    due = now;

    if (current == SourceCall::list)
        return takePage (std::move (answer));

    at = std::max (at, answer.at);
    due = std::max<Timestamp> (now, sentAt + settings.watchInterval);

    if (answer.entries.empty())
        return std::nullopt;

    return SourceUpdate{ false, std::move (answer.entries), at };
}

std::optional<SourceUpdate> SourceFollower::takePage (SourceAnswer answer)
{
    if (pages.empty())
        listingAt = answer.at;

    const bool last = ! answer.hasMore || answer.entries.empty();
    pages.insert (pages.end(), std::make_move_iterator (answer.entries.begin()),
                  std::make_move_iterator (answer.entries.end()));

    if (! last)
        return std::nullopt;

    at = std::max (at, listingAt);
    listed = true;
    return SourceUpdate{ true, std::exchange (pages, {}), listingAt };
}

} // namespace copperlead::mesh
