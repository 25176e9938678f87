#include "sidecar/decision_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace copperlead::sidecar
{
namespace
{

Timestamp at (std::int64_t milliseconds) { return Timestamp (Milliseconds (milliseconds)); }

/** Provides a pipe for the log to write to. */
class Logging : public ::testing::Test
{
protected:
    Logging()
    {
        EXPECT_EQ (pipe (ends.data()), 0);
        fcntl (ends[0], F_SETFL, O_NONBLOCK);
    }

    ~Logging() override
    {
        close (ends[0]);
        close (ends[1]);
    }

    std::vector<nlohmann::json> lines()
    {
        std::string text;
        std::array<char, 65536> piece{};

        for (;;)
        {
            const auto count = read (ends[0], piece.data(), piece.size());

            if (count <= 0)
                break;

            text.append (piece.data(), static_cast<std::size_t> (count));
        }

        std::vector<nlohmann::json> parsed;

        // The last line may be incomplete, so only text up to a line break is parsed.
        for (std::size_t from = 0, end = text.find ('\n'); end != std::string::npos;
             end = text.find ('\n', from))
        {
            parsed.push_back (nlohmann::json::parse (text.substr (from, end - from)));
            from = end + 1;
        }

        return parsed;
    }

    std::array<int, 2> ends{};
};

TEST_F (Logging, LinesAreJsonWithTheirFields)
{
    DecisionLog log ("n1", ends[1]);
    log.write (
        at (5), EventKind::requestFailed,
        { { "request", "a\"b\\c\n\xff" }, { "status", std::int64_t (502) }, { "took_ms", 1.25 } });
    log.flush();
    const auto written = lines();
    ASSERT_EQ (written.size(), 1U);
    EXPECT_EQ (written[0]["t"], 5);
    EXPECT_EQ (written[0]["node"], "n1");
    EXPECT_EQ (written[0]["event"], "request_failed");
    EXPECT_EQ (written[0]["status"], 502);
    EXPECT_EQ (written[0]["request"], "a\"b\\c\n\u00ff");
}

TEST_F (Logging, EachKindHasALimitPerSecondAndOmittedLinesAreCounted)
{
    DecisionLog log ("n1", ends[1]);
    const auto budget = describe (EventKind::requestFailed).linesPerSecond;

    for (int line = 0; line < 3 * budget; ++line)
        log.write (at (2000), EventKind::requestFailed, {});

    log.write (at (2000), EventKind::started, {}); // Each kind has its own limit.
    log.write (at (3100), EventKind::requestFailed, {});
    log.flush();
    const auto written = lines();
    EXPECT_EQ (log.omittedLines(), 2U * static_cast<unsigned> (budget));
    EXPECT_EQ (std::count_if (written.begin(), written.end(),
                              [] (const auto& line) { return line["event"] == "lines_left_out"; }),
               1);
}

TEST_F (Logging, AStalledReaderNeverBlocksTheWriter)
{
    DecisionLog log ("n1", ends[1]);
    const std::string text (2000, 'x');
    const auto before = std::chrono::steady_clock::now();

    for (int second = 0; second < 400; ++second)
    {
        for (int line = 0; line < 20; ++line)
            log.write (at (1000 * second), EventKind::requestFailed, { { "request", text } });

        log.flush();
    }

    EXPECT_LT (std::chrono::steady_clock::now() - before, std::chrono::seconds (5));
    EXPECT_GT (log.omittedLines(), 1000U);
    EXPECT_FALSE (lines().empty());
}

TEST (EventKinds, EachIsDescribedOnceAtItsIndex)
{
    std::set<std::string_view> names;

    for (std::uint8_t kind = 0; kind < static_cast<std::uint8_t> (EventKind::count); ++kind)
    {
        const auto& description = describe (static_cast<EventKind> (kind));
        EXPECT_EQ (description.kind, static_cast<EventKind> (kind));
        EXPECT_TRUE (names.insert (description.name).second) << description.name;
        EXPECT_GT (description.linesPerSecond, 0);
    }
}

} // namespace
} // namespace copperlead::sidecar
