// Tests one Membership with hand-made messages: precedence of statements, refutation, seeds, lists
// and pauses.
#include <gtest/gtest.h>

#include <algorithm>

#include "membership/membership.h"

namespace copperlead {
namespace {

using std::chrono::seconds;
using enum MemberState;

const Timestamp kStart{seconds(100)};

MemberRecord Record(const NodeId& id, MemberState state, std::uint32_t incarnation,
                    std::uint64_t revision = 0) {
  const auto port = static_cast<std::uint16_t>(7000 + id.back());
  return {id, "zone", {"10.0.0.1", port}, state, incarnation, {revision, 0, revision}};
}

// Returns one message of each type that carries statements, each with this statement.
std::vector<MessageBody> BodiesWithStatement(const MemberRecord& statement) {
  PingRequest request;
  request.target_id = "c";
  request.target = {"10.0.0.9", 1};
  request.updates = {statement};
  std::vector<MessageBody> bodies = {Ping{1, {statement}}, PingAck{1, {statement}}};
  bodies.emplace_back(std::move(request));
  bodies.emplace_back(JoinReply{{}, {statement}});
  return bodies;
}

class ContractTest : public ::testing::Test {
 protected:
  // Delivers a message from `sender`.
  std::vector<OutgoingMessage> Receive(const MemberRecord& sender, MessageBody body) {
    return node_.Handle(now_, sender.address, Message{{sender, {}, 0}, std::move(body)});
  }
  void ReceiveGossip(const std::vector<MemberRecord>& updates) {
    Receive(Record("gossip", kAlive, 1), PingAck{0, updates});
  }
  const MemberRecord& View(const NodeId& id) { return node_.members().at(id).record; }
  // Calls Tick() at each deadline for `duration`. No message is answered.
  std::vector<OutgoingMessage> RunFor(Duration duration) {
    std::vector<OutgoingMessage> sent;
    const auto end = now_ + duration;
    while (node_.NextDeadline() <= end) {
      now_ = std::max(now_, node_.NextDeadline());
      for (auto& message : node_.Tick(now_)) sent.push_back(std::move(message));
    }
    now_ = end;
    return sent;
  }
  std::size_t CountInState(MemberState state) {
    return static_cast<std::size_t>(
        std::count_if(node_.members().begin(), node_.members().end(),
                      [&](const auto& entry) { return entry.second.record.state == state; }));
  }

  Timestamp now_ = kStart;
  Membership node_{{}, Record("self", kAlive, 5), 1, kStart};
};

TEST_F(ContractTest, StatementsAreOrderedByIncarnationThenState) {
  struct Case {
    MemberState held;
    std::uint8_t held_incarnation;
    MemberState stated;
    std::uint8_t stated_incarnation;
    bool taken;
  };
  const Case cases[] = {
      {kAlive, 3, kSuspect, 3, true},  {kAlive, 3, kLeaving, 3, true},
      {kAlive, 3, kDead, 3, true},     {kSuspect, 3, kLeaving, 3, true},
      {kSuspect, 3, kDead, 3, true},   {kLeaving, 3, kDead, 3, true},
      {kSuspect, 3, kAlive, 3, false}, {kLeaving, 3, kSuspect, 3, false},
      {kLeaving, 3, kAlive, 3, false}, {kDead, 3, kAlive, 3, false},
      {kDead, 3, kSuspect, 3, false},  {kDead, 3, kLeaving, 3, false},
      {kAlive, 3, kDead, 2, false},    {kAlive, 3, kSuspect, 2, false},
      {kDead, 3, kAlive, 4, true},     {kSuspect, 3, kAlive, 4, true},
      {kLeaving, 3, kAlive, 4, true},  {kDead, 3, kAlive, 2, false},
      {kAlive, 3, kAlive, 4, true},    {kDead, 3, kSuspect, 4, true},
  };
  int index = 0;
  for (const auto& row : cases) {
    const NodeId id = "member" + std::to_string(index++);
    const auto held = Record(id, row.held, row.held_incarnation);
    const auto stated = Record(id, row.stated, row.stated_incarnation);
    ReceiveGossip({held});
    ReceiveGossip({stated});
    EXPECT_EQ(View(id), row.taken ? stated : held) << "row " << index - 1;
  }
}

TEST_F(ContractTest, ANodeRefutesWrongStatementsAboutItself) {
  struct Case {
    std::uint32_t incarnation;
    std::uint32_t expected;
    MemberState stated;
    bool same_address;
  };
  const Case cases[] = {
      {5, 5, kAlive, true},    {4, 5, kSuspect, true}, {4, 5, kDead, true},
      {5, 6, kSuspect, true},  {5, 6, kDead, true},    {5, 6, kLeaving, true},
      {9, 10, kDead, true},    {9, 10, kAlive, true},  {9, 5, kAlive, false},
      {9, 5, kSuspect, false}, {9, 10, kDead, false},  {UINT32_MAX, 5, kDead, true},
  };
  for (const auto& row : cases) {
    auto stated = Record("self", row.stated, row.incarnation);
    if (!row.same_address) stated.address.port = 1;
    const auto sender = Record("b", kAlive, 1);
    const std::vector<MessageBody> bodies = BodiesWithStatement(stated);
    for (const auto& body : bodies) {
      Membership node({}, Record("self", kAlive, 5), 1, kStart);
      node.Handle(kStart, sender.address, Message{{sender, {}, 0}, body});
      EXPECT_EQ(node.self().incarnation, row.expected)
          << static_cast<int>(row.stated) << " " << row.incarnation << " body " << body.index();
      EXPECT_EQ(node.Summary().record, node.self());
    }
  }
}

TEST_F(ContractTest, ASuspectOrDeadSenderReceivesItsRecordWhateverItSends) {
  const auto sender = Record("b", kAlive, 3);
  const MessageBody bodies[] = {Ping{1, {}}, PingAck{1, {}}, JoinRequest{}, StatusQuery{}};
  for (const auto state : {kSuspect, kDead}) {
    for (const auto& body : bodies) {
      Membership node({}, Record("self", kAlive, 5), 1, kStart);
      const auto suspect_or_dead = Record("b", state, 3);
      const auto other = Record("c", kAlive, 1);
      node.Handle(kStart, other.address, Message{{other, {}, 0}, Ping{1, {suspect_or_dead}}});
      const auto sent = node.Handle(kStart, sender.address, Message{{sender, {}, 0}, body});
      bool reported = false;
      for (const auto& message : sent) {
        const auto* ping = std::get_if<Ping>(&message.body);
        const auto* ack = std::get_if<PingAck>(&message.body);
        const auto* reply = std::get_if<JoinReply>(&message.body);
        const auto& records = ping != nullptr  ? ping->updates
                              : ack != nullptr ? ack->updates
                                               : reply->members;
        reported |= std::find(records.begin(), records.end(), suspect_or_dead) != records.end();
      }
      EXPECT_TRUE(reported) << "body " << body.index();
      auto refuted = sender;
      refuted.incarnation = 4;
      node.Handle(kStart, sender.address, Message{{refuted, {}, 0}, PingAck{1, {}}});
      EXPECT_EQ(node.members().at("b").record.state, kAlive);
    }
  }
}

TEST_F(ContractTest, ConfigurationNeverDecreasesAndIsReportedToTheRequester) {
  Receive(Record("b", kAlive, 1, 9), Ping{});
  ReceiveGossip({Record("b", kDead, 1, 0)});
  EXPECT_EQ(View("b").configuration.major, 9u);
  // This record is outranked, but its configuration is still a lower bound.
  ReceiveGossip({Record("b", kAlive, 0, 11)});
  EXPECT_EQ(View("b").state, kDead);
  const auto sent = Receive(Record("b", kAlive, 2, 0), JoinRequest{});
  EXPECT_EQ(View("b").state, kAlive);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(std::get<JoinReply>(sent[0].body).remembered.major, 11u);
}

TEST_F(ContractTest, SeedsAddUnknownNodesAndOverrideNothing) {
  const auto direct = Record("b", kAlive, 7, 3);
  Receive(direct, Ping{});
  ReceiveGossip({Record("d", kDead, 0)});
  auto wrong_address = Record("b", kAlive, 0);
  wrong_address.address.port = 1;
  node_.AddSeeds(now_, {wrong_address, Record("c", kAlive, 0), Record("d", kAlive, 0),
                        Record("e", kLeaving, 0), Record("self", kAlive, 0)});
  EXPECT_EQ(View("b"), direct);
  EXPECT_EQ(View("c").state, kAlive);
  EXPECT_EQ(View("d").state, kDead);
  EXPECT_EQ(node_.members().count("self"), 0u);
  std::vector<NodeId> eligible;
  for (const auto& record : node_.Eligible()) eligible.push_back(record.id);
  EXPECT_EQ(eligible, (std::vector<NodeId>{"b", "c", "gossip", "self"}));
  EXPECT_EQ(node_.LiveCount(), 5u);  // "e" remains a member.
  const auto listed = Record("c", kAlive, 0);
  auto moved = listed;
  moved.zone = "other";
  Receive(moved, Ping{});  // The node itself is authoritative over the list, even at incarnation 0.
  EXPECT_EQ(View("c").zone, "other");
}

TEST_F(ContractTest, AnotherIdAtADeadMembersAddressIsAMemberOfItsOwn) {
  ReceiveGossip({Record("b", kDead, 3)});
  auto successor = Record("heir", kAlive, 1);
  successor.address = View("b").address;
  Receive(successor, Ping{});
  EXPECT_EQ(View("heir").state, kAlive);
  EXPECT_EQ(View("b").state, kDead);
  auto moved = Record("heir", kAlive, 2);
  Receive(moved, Ping{});
  EXPECT_EQ(View("heir").address, moved.address);
}

TEST_F(ContractTest, AFullListIsAppliedAtOnceAndNotGossiped) {
  JoinReply reply;
  for (int index = 0; index < 1000; ++index) {
    reply.members.push_back(Record("member" + std::to_string(index), kAlive, 1));
  }
  node_.Join(now_);
  Receive(Record("b", kAlive, 1, 4), reply);
  EXPECT_EQ(node_.LiveCount(), 1002u);
  EXPECT_TRUE(node_.FleetAnswered());
  EXPECT_EQ(node_.JoinReplyCount(), 1u);
  EXPECT_EQ(node_.HighestVersionReceived().major, 4u);
  // The node's own verdicts about members that do not answer may be gossiped, the list may not.
  for (const auto& message : RunFor(seconds(2))) {
    const auto* ping = std::get_if<Ping>(&message.body);
    if (ping == nullptr) continue;
    for (const auto& update : ping->updates) {
      EXPECT_TRUE(update.state == kSuspect || update.id == "b") << update.id;
    }
  }
}

TEST_F(ContractTest, APauseDiscardsProbesAndSuspicions) {
  for (const char* id : {"b", "c", "d"}) Receive(Record(id, kAlive, 1), Ping{});
  RunFor(seconds(3));
  ASSERT_GE(CountInState(kSuspect), 1u);
  for (const bool tick_first : {true, false}) {
    now_ += seconds(60);
    if (tick_first) node_.Tick(now_);
    Receive(Record("b", kAlive, 1), Ping{});
    node_.Tick(now_);
    EXPECT_EQ(CountInState(kDead), 0u);
    RunFor(seconds(3));
    EXPECT_EQ(CountInState(kDead), 0u);
  }
  RunFor(seconds(60));
  EXPECT_EQ(CountInState(kDead), 3u);  // Members that stay unreachable are still detected.
}

TEST_F(ContractTest, ALeavingNodeAnnouncesItAndHoldsNoRole) {
  for (const char* id : {"b", "c"}) Receive(Record(id, kAlive, 1), Ping{});
  EXPECT_EQ(node_.Leave(now_).size(), 2u);
  EXPECT_EQ(node_.self().state, kLeaving);
  EXPECT_EQ(node_.self().incarnation, 6u);
  EXPECT_EQ(node_.Eligible().size(), 2u);
  ReceiveGossip({Record("self", kDead, 6)});
  EXPECT_EQ(node_.self().state, kLeaving);  // It refutes its death but not its leaving.
  EXPECT_EQ(node_.self().incarnation, 7u);
  const auto before = node_.EligibilityVersion();
  Receive(Record("b", kLeaving, 2), Ping{});
  EXPECT_NE(node_.EligibilityVersion(), before);
  EXPECT_EQ(node_.EligibleInZone("zone").size(), 2u);  // These are "c" and "gossip".
}

}  // namespace
}  // namespace copperlead
