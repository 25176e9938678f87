#include "mesh/subscription.h"

#include <gtest/gtest.h>

#include "mesh/reader_heartbeat_codec.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

const std::vector<std::string> peers{ "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4" };

TEST (Subscriptions, WithoutAReaderSomePeersAreContactedTwiceASecond)
{
    Subscriptions subscriptions (1);
    EXPECT_EQ (subscriptions.takeDueRequests (at (0), peers).size(),
               Subscriptions::peersPerAttempt);
    EXPECT_TRUE (subscriptions.takeDueRequests (at (490), peers).empty());
    EXPECT_EQ (subscriptions.takeDueRequests (at (500), peers).size(),
               Subscriptions::peersPerAttempt);
}

TEST (Subscriptions, WithoutPeersNothingIsSent)
{
    Subscriptions subscriptions (1);
    EXPECT_TRUE (subscriptions.takeDueRequests (at (0), {}).empty());
    EXPECT_EQ (subscriptions.takeDueRequests (at (10), { "10.0.0.1" }).size(), 1U)
        << "as soon as one is known";
}

TEST (Subscriptions, KnownReaderGetsRenewalsOnly)
{
    Subscriptions subscriptions (1);
    subscriptions.onReaderHeartbeat (at (0), "10.0.0.9", false);
    const OutgoingSubscriptions toReader{ { "10.0.0.9", {} } };
    EXPECT_EQ (subscriptions.takeDueRequests (at (0), peers), toReader);
    subscriptions.onReaderHeartbeat (at (1900), "10.0.0.9", false);
    EXPECT_TRUE (subscriptions.takeDueRequests (at (1990), peers).empty());
    EXPECT_EQ (subscriptions.takeDueRequests (at (2000), peers), toReader);
}

TEST (Subscriptions, SilentReaderTimesOut)
{
    Subscriptions subscriptions (1);
    subscriptions.onReaderHeartbeat (at (0), "10.0.0.9", false);
    subscriptions.takeDueRequests (at (0), peers);
    EXPECT_EQ (subscriptions.takeDueRequests (at (700), peers).size(),
               Subscriptions::peersPerAttempt);
}

TEST (Subscriptions, SubscriptionsReceivedBeforeAHeartbeatAreForwardedOnce)
{
    Subscriptions subscriptions (1);
    EXPECT_TRUE (subscriptions.addSubscriber (at (0), "10.0.0.7", false).empty());
    const auto forwarded = subscriptions.onReaderHeartbeat (at (100), "10.0.0.9", false);
    EXPECT_EQ (forwarded, (OutgoingSubscriptions{ { "10.0.0.9", "10.0.0.7" } }));
    EXPECT_TRUE (subscriptions.onReaderHeartbeat (at (350), "10.0.0.9", false).empty());
}

TEST (Subscriptions, SubscriptionsReceivedAfterAHeartbeatAreForwardedImmediately)
{
    Subscriptions subscriptions (1);
    subscriptions.onReaderHeartbeat (at (0), "10.0.0.9", false);
    EXPECT_EQ (subscriptions.addSubscriber (at (10), "10.0.0.7", false),
               (OutgoingSubscriptions{ { "10.0.0.9", "10.0.0.7" } }));
    EXPECT_TRUE (subscriptions.subscribers (at (10)).empty());
}

TEST (Subscriptions, ReaderIsNotSubscribedToItself)
{
    Subscriptions subscriptions (1);
    subscriptions.onReaderHeartbeat (at (0), "10.0.0.9", false);
    EXPECT_TRUE (subscriptions.addSubscriber (at (10), "10.0.0.9", false).empty());
}

TEST (Subscriptions, ReaderKeepsSubscribersUntilTheyExpireOrItStopsReading)
{
    Subscriptions subscriptions (1);
    EXPECT_TRUE (subscriptions.addSubscriber (at (0), "10.0.0.7", true).empty());
    EXPECT_TRUE (subscriptions.addSubscriber (at (3000), "10.0.0.8", true).empty());
    EXPECT_TRUE (subscriptions.onReaderHeartbeat (at (3100), "10.0.0.9", true).empty());
    EXPECT_EQ (subscriptions.subscribers (at (4990)).size(), 2U);
    EXPECT_EQ (subscriptions.subscribers (at (5000)), std::vector<std::string>{ "10.0.0.8" });
    EXPECT_EQ (subscriptions.onReaderHeartbeat (at (5100), "10.0.0.9", false),
               (OutgoingSubscriptions{ { "10.0.0.9", "10.0.0.8" } }));
}

TEST (Subscriptions, NumberOfSubscribersIsLimited)
{
    Subscriptions subscriptions (1);

    for (std::size_t n = 0; n < Subscriptions::maxSubscribers + 10; ++n)
        subscriptions.addSubscriber (at (0), std::to_string (n), true);

    EXPECT_EQ (subscriptions.subscribers (at (1)).size(), Subscriptions::maxSubscribers);
}

TEST (Subscriptions, DecodingRejectsOtherAndTruncatedDatagrams)
{
    const auto bytes = encode (Subscription{ "z1", "10.0.0.7" });
    const auto decoded = decodeSubscription (bytes);
    ASSERT_TRUE (decoded);
    EXPECT_EQ (decoded->zone, "z1");
    EXPECT_EQ (decoded->ip, "10.0.0.7");
    EXPECT_FALSE (decodeReaderHeartbeat (bytes));
    EXPECT_FALSE (decodeSubscription (encode (ReaderHeartbeat{})));
    EXPECT_FALSE (decodeSubscription (bytes.substr (0, bytes.size() - 1)));
    EXPECT_FALSE (decodeSubscription (""));
}

} // namespace
} // namespace copperlead::mesh::test
