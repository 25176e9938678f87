#include "sidecar/decision_log.h"

#include <fmt/format.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t maxBufferedBytes = 256 << 10;

// PIPE_BUF on Linux: a pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t atomicWriteBytes = 4096;

// The fields of the lines that end a request.
constexpr std::string_view requestFields =
    "request route version status cause attempts arrivals took_ms left_ms budget instance";

constexpr std::array<EventDescription, static_cast<std::size_t> (EventKind::count)> descriptions{ {
    { EventKind::started, "started", 10, "zone service outbound inbound readiness" },
    { EventKind::stopping, "stopping", 10, "in_flight connections" },
    { EventKind::stopped, "stopped", 10, "in_flight after_ms" },
    { EventKind::woke, "woke", 5, "asleep_ms suspended_ms in_flight" },
    { EventKind::settingsReloaded, "settings_reloaded", 5, "cause service" },
    { EventKind::settingsRefused, "settings_refused", 5, "cause" },
    { EventKind::sourceLost, "source_lost", 5, "call cause last_word_ms epoch revision" },
    { EventKind::sourceRegained, "source_regained", 5, "after_ms epoch revision" },
    { EventKind::sourceRestored, "source_restored", 5,
      "epoch revision known_epoch known_revision" },
    { EventKind::historyLost, "history_lost", 5, "epoch revision answered" },
    { EventKind::sourceAnswerTooLarge, "source_answer_too_large", 5, "epoch revision limit" },
    { EventKind::listingIgnored, "listing_ignored", 5,
      "epoch revision known_epoch known_revision" },
    { EventKind::roleChanged, "role_changed", 5, "reading epoch revision version" },
    { EventKind::subscribed, "subscribed", 2, "to asked peers epoch revision" },
    { EventKind::configurationTaken, "configuration_taken", 20,
      "version before epoch revision routes" },
    { EventKind::configurationRefused, "configuration_refused", 20,
      "running place cause epoch revision" },
    { EventKind::entryRefused, "entry_refused", 5, "key place cause" },
    { EventKind::valueDoubted, "value_doubted", 5, "key place cause" },
    { EventKind::zoneEvacuated, "zone_evacuated", 10, "zone epoch revision instances" },
    { EventKind::zoneReturned, "zone_returned", 10, "zone epoch revision instances" },
    { EventKind::identityLearned, "identity_learned", 5, "instance before by" },
    { EventKind::instanceLost, "instance_lost", 5, "instance cause" },
    { EventKind::instanceRegained, "instance_regained", 5, "instance after_ms" },
    { EventKind::instanceCrashed, "instance_crashed", 5, "instance crash runs requests" },
    { EventKind::suspectHeld, "suspect_held", 10, "digest by age_ms suspects" },
    { EventKind::suspectCleared, "suspect_cleared", 10, "digest by age_ms suspects" },
    { EventKind::suspectRefused, "suspect_refused", 10,
      "request route digest crashes age_ms retry_after_ms" },
    { EventKind::instanceUnlisted, "instance_unlisted", 20,
      "instance state cause reading epoch revision lapse_ms" },
    { EventKind::instanceLeaving, "instance_leaving", 5, "instance by running waiting" },
    { EventKind::instanceLimited, "instance_limited", 5,
      "instance per_second by sent running waiting" },
    { EventKind::instanceUnlimited, "instance_unlimited", 5,
      "instance cause sent running waiting" },
    { EventKind::instanceFailing, "instance_failing", 5,
      "instance share outcome status cause running" },
    { EventKind::instanceCold, "instance_cold", 5, "instance cause for_ms running waiting" },
    { EventKind::instanceWarm, "instance_warm", 5, "instance cause for_ms running waiting" },
    { EventKind::peerAvoided, "peer_avoided", 10, "instance cause for_ms" },
    { EventKind::requestServed, "request_served", 1, requestFields },
    { EventKind::requestRefused, "request_refused", 20,
      "request route version status cause attempts arrivals took_ms left_ms budget instance age_ms "
      "retry_after_ms" },
    { EventKind::requestFailed, "request_failed", 20, requestFields },
    { EventKind::requestUnrouted, "request_unrouted", 10,
      "request host target version status cause word_age_ms" },
    { EventKind::credentialRefused, "credential_refused", 10,
      "request route version status cause word_age_ms" },
    { EventKind::quotaRefused, "quota_refused", 10,
      "request route tenant keeper limit retry_after_ms" },
    { EventKind::quotaAlone, "quota_alone", 5, "tenant waiting tried nodes per_second" },
    { EventKind::quotaUsed, "quota_used", 10,
      "tenant keeper passed refused passed_alone refused_alone returned" },
    { EventKind::quotaKept, "quota_kept", 10,
      "tenant granted refused returned redirected begun reachable level" },
    { EventKind::clientLeft, "client_left", 20, requestFields },
    { EventKind::runAbandoned, "run_abandoned", 20, "request instance waited_ms running waiting" },
    { EventKind::searchFailed, "search_failed", 20,
      "request service outcome cause asked replies widened took_ms attempts" },
    { EventKind::attemptEnded, "attempt_ended", 30,
      "request instance hop outcome cause next load report_age_ms expected_ms took_ms version" },
    { EventKind::answerBrokenOff, "answer_broken_off", 20, "request instance took_ms left_ms" },
    { EventKind::admissionRefused, "admission_refused", 20,
      "request instance cause running waiting waiting_late target_ms left_ms wait_ms "
      "cold_ms limit" },
    { EventKind::bodyRefused, "body_refused", 20,
      "request cause bytes waiting in_transfer expected_ms target_ms left_ms" },
    { EventKind::memoryPlanned, "memory_planned", 5,
      "memory client_bodies client_streams unsized_client_bodies node_bodies node_streams "
      "node_answers node_answer_streams instance_answers instance_answer_streams" },
    { EventKind::memoryRefused, "memory_refused", 20, "request bytes used limit waiting" },
    { EventKind::bodyLimitTooLarge, "body_limit_too_large", 5,
      "max_body_bytes unsized_up_to memory" },
    { EventKind::handlerFailed, "handler_failed", 10, "cause failures" },
    { EventKind::linesLeftOut, "lines_left_out", 1, "lines" },
} };

void appendText (std::string& line, std::string_view text)
{
    line += '"';

    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char> (c);

        if (c == '"' || c == '\\')
            line.append (1, '\\').append (1, c);
        else if (byte < 0x20 || byte >= 0x7f)
            line += fmt::format ("\\u{:04x}", byte);
        else
            line += c;
    }

    line += '"';
}

void appendValue (std::string& line, const Field& field)
{
    if (const auto* text = std::get_if<std::string_view> (&field.value))
        appendText (line, *text);
    else if (const auto* whole = std::get_if<std::int64_t> (&field.value))
        fmt::format_to (std::back_inserter (line), "{}", *whole);
    else
        fmt::format_to (std::back_inserter (line), "{:.1f}", std::get<double> (field.value));
}

} // namespace

const EventDescription& describe (EventKind kind)
{
    return descriptions.at (static_cast<std::size_t> (kind));
}

/** Buffers lines until the descriptor accepts them. */
class DecisionLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit Sink (int descriptorToUse)
        : descriptor (descriptorToUse)
    {
    }

    /** @returns false if the line doesn't fit in the buffer */
    bool add (std::string_view line)
    {
        if (buffer.size() + line.size() + 1 > maxBufferedBytes)
            return false;

        buffer.append (line).append (1, '\n');
        return true;
    }

    void drain()
    {
        while (! buffer.empty())
        {
            pollfd output{ descriptor, POLLOUT, 0 };

            if (poll (&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
                return;

            const auto size = std::min (buffer.size(), atomicWriteBytes);
            const auto count = ::write (descriptor, buffer.data(), size);

            if (count <= 0)
                return;

            buffer.erase (0, static_cast<std::size_t> (count));
        }
    }

    std::uint64_t refused = 0;

protected:
    void sink_it_ (const spdlog::details::log_msg& message) override
    {
        if (! add (std::string_view (message.payload.data(), message.payload.size())))
            ++refused;
    }

    void flush_() override { drain(); }

private:
    int descriptor;
    std::string buffer;
};

/** Counts the lines of each kind per second. */
class DecisionLog::Budgets
{
public:
    /** @returns true if the kind may write another line in this second */
    bool take (Timestamp now, EventKind kind)
    {
        auto& budget = budgets.at (static_cast<std::size_t> (kind));
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds> (now.time_since_epoch());

        if (budget.second != second)
            budget = { second, 0 };

        if (budget.used >= describe (kind).linesPerSecond)
        {
            ++omitted;
            return false;
        }

        ++budget.used;
        return true;
    }

    std::uint64_t omitted = 0, reported = 0;
    Timestamp reportedAt{};

private:
    struct Budget
    {
        std::chrono::seconds second{ -1 };
        int used = 0;
    };

    std::array<Budget, static_cast<std::size_t> (EventKind::count)> budgets{};
};

DecisionLog::DecisionLog (std::string node, int descriptor)
    : nodeName (std::move (node))
    , budgets (std::make_unique<Budgets>())
    , sink (std::make_shared<Sink> (descriptor))
{
}

DecisionLog::~DecisionLog() { flush(); }

std::uint64_t DecisionLog::omittedLines() const { return budgets->omitted + sink->refused; }

void DecisionLog::write (Timestamp now, EventKind kind, std::span<const Field> fields)
{
    if (! budgets->take (now, kind))
        return;

    using std::chrono::duration_cast, std::chrono::system_clock;
    // The steady clock orders the lines of a single node, and the wall clock those of several
    // nodes.
    const auto at = duration_cast<Milliseconds> (now.time_since_epoch()).count();
    line.clear();
    const auto wall = duration_cast<Milliseconds> (system_clock::now().time_since_epoch()).count();
    fmt::format_to (std::back_inserter (line), R"({{"time":{},"t":{},"node":"{}","event":"{}")",
                    wall, at, nodeName, describe (kind).name);

    for (const auto& field : fields)
    {
        line.append (",\"").append (field.name).append ("\":");
        appendValue (line, field);
    }

    line += '}';
    sink->log (spdlog::details::log_msg ("", spdlog::level::info, line));

    if (kind != EventKind::linesLeftOut)
        reportOmittedLines (now);
}

void DecisionLog::reportOmittedLines (Timestamp now)
{
    const auto total = omittedLines();

    if (total == budgets->reported || now - budgets->reportedAt < std::chrono::seconds (1))
        return;

    budgets->reportedAt = now;
    write (now, EventKind::linesLeftOut,
           { { "lines", static_cast<std::int64_t> (total - budgets->reported) } });
    budgets->reported = total;
}

void DecisionLog::flush() { sink->drain(); }

} // namespace copperlead::sidecar
