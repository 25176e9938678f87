#include "mesh/subscription.h"

#include <gtest/gtest.h>

#include "mesh/reader_beat_codec.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

const std::vector<std::string> peers{ "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4" };

TEST (Subscriptions, WithoutAReaderSomePeersAreContactedTwiceASecond)
{
    Subscriptions subscriptions (1);
    EXPECT_EQ (subscriptions.due (at (0), peers).size(), Subscriptions::askedAtOnce);
    EXPECT_TRUE (subscriptions.due (at (490), peers).empty());
    EXPECT_EQ (subscriptions.due (at (500), peers).size(), Subscriptions::askedAtOnce);
}

TEST (Subscriptions, WithoutPeersNothingIsSent)
{
    Subscriptions subscriptions (1);
    EXPECT_TRUE (subscriptions.due (at (0), {}).empty());
    EXPECT_EQ (subscriptions.due (at (10), { "10.0.0.1" }).size(), 1U) << "as soon as one is known";
}

TEST (Subscriptions, KnownReaderGetsRenewalsOnly)
{
    Subscriptions subscriptions (1);
    subscriptions.heardReader (at (0), "10.0.0.9", false);
    const SubscriptionSendings toReader{ { "10.0.0.9", {} } };
    EXPECT_EQ (subscriptions.due (at (0), peers), toReader);
    subscriptions.heardReader (at (1900), "10.0.0.9", false);
    EXPECT_TRUE (subscriptions.due (at (1990), peers).empty());
    EXPECT_EQ (subscriptions.due (at (2000), peers), toReader);
}

TEST (Subscriptions, SilentReaderTimesOut)
{
    Subscriptions subscriptions (1);
    subscriptions.heardReader (at (0), "10.0.0.9", false);
    subscriptions.due (at (0), peers);
    EXPECT_EQ (subscriptions.due (at (700), peers).size(), Subscriptions::askedAtOnce);
}

TEST (Subscriptions, SubscriptionsReceivedBeforeAHeartbeatAreForwardedOnce)
{
    Subscriptions subscriptions (1);
    EXPECT_TRUE (subscriptions.take (at (0), "10.0.0.7", false).empty());
    const auto forwarded = subscriptions.heardReader (at (100), "10.0.0.9", false);
    EXPECT_EQ (forwarded, (SubscriptionSendings{ { "10.0.0.9", "10.0.0.7" } }));
    EXPECT_TRUE (subscriptions.heardReader (at (350), "10.0.0.9", false).empty());
}

TEST (Subscriptions, SubscriptionsReceivedAfterAHeartbeatAreForwardedImmediately)
{
    Subscriptions subscriptions (1);
    subscriptions.heardReader (at (0), "10.0.0.9", false);
    EXPECT_EQ (subscriptions.take (at (10), "10.0.0.7", false),
               (SubscriptionSendings{ { "10.0.0.9", "10.0.0.7" } }));
    EXPECT_TRUE (subscriptions.subscribers (at (10)).empty());
}

TEST (Subscriptions, ReaderIsNotSubscribedToItself)
{
    Subscriptions subscriptions (1);
    subscriptions.heardReader (at (0), "10.0.0.9", false);
    EXPECT_TRUE (subscriptions.take (at (10), "10.0.0.9", false).empty());
}

TEST (Subscriptions, ReaderKeepsSubscribersUntilTheyExpireOrItStopsReading)
{
    Subscriptions subscriptions (1);
    EXPECT_TRUE (subscriptions.take (at (0), "10.0.0.7", true).empty());
    EXPECT_TRUE (subscriptions.take (at (3000), "10.0.0.8", true).empty());
    EXPECT_TRUE (subscriptions.heardReader (at (3100), "10.0.0.9", true).empty());
    EXPECT_EQ (subscriptions.subscribers (at (4990)).size(), 2U);
    EXPECT_EQ (subscriptions.subscribers (at (5000)), std::vector<std::string>{ "10.0.0.8" });
    EXPECT_EQ (subscriptions.heardReader (at (5100), "10.0.0.9", false),
               (SubscriptionSendings{ { "10.0.0.9", "10.0.0.8" } }));
}

TEST (Subscriptions, NumberOfSubscribersIsLimited)
{
    Subscriptions subscriptions (1);

    for (std::size_t n = 0; n < Subscriptions::most + 10; ++n)
        subscriptions.take (at (0), std::to_string (n), true);

    EXPECT_EQ (subscriptions.subscribers (at (1)).size(), Subscriptions::most);
}

TEST (Subscriptions, DecodingRejectsOtherAndTruncatedDatagrams)
{
    const auto bytes = encode (Subscription{ "z1", "10.0.0.7" });
    const auto decoded = decodeSubscription (bytes);
    ASSERT_TRUE (decoded);
    EXPECT_EQ (decoded->zone, "z1");
    EXPECT_EQ (decoded->ip, "10.0.0.7");
    EXPECT_FALSE (decodeReaderBeat (bytes));
    EXPECT_FALSE (decodeSubscription (encode (ReaderBeat{})));
    EXPECT_FALSE (decodeSubscription (bytes.substr (0, bytes.size() - 1)));
    EXPECT_FALSE (decodeSubscription (""));
}

} // namespace
} // namespace copperlead::mesh::test
