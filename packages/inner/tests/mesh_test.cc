#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "mesh_fixture.h"

using hibiscuspick::InstanceId;
using hibiscuspick::PartId;
using hibiscuspick::ShardId;
using hibiscuspick::inner::MeshLimits;
using hibiscuspick::inner::Message;
using hibiscuspick::inner::PartCancel;
using hibiscuspick::inner::PartOutcomes;
using hibiscuspick::inner::testing::MakePart;
using hibiscuspick::inner::testing::Node;
using hibiscuspick::limits::PartRequest;

namespace {

PartOutcomes MakeOutcomes(uint64_t number) {
  PartOutcomes outcomes;
  outcomes.part = PartId(number);
  outcomes.outcomes.push_back({ShardId("p2"),
                               hibiscuspick::Code::kOk,
                               hibiscuspick::Ran::kMaybe,
                               1,
                               {},
                               {}});
  return outcomes;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_part_goes_out_and_its_outcomes_come_back) {
  Node a("a");
  Node b("b");
  BOOST_REQUIRE((a.started && b.started));
  BOOST_TEST(a.mesh.Send(b.peer(), MakePart(5)));
  BOOST_REQUIRE(b.inbox.WaitMessages(1));
  const auto [from, message] = b.inbox.messages().front();
  BOOST_TEST((from == a.id));
  const auto& part = std::get<PartRequest>(message);
  BOOST_TEST(part.origin.part.value == 5U);
  BOOST_TEST(part.shards.at(0).servers.size() == 2U);
  BOOST_TEST(part.time_left.count <= 200);

  // b knows a's address only from its hello.
  BOOST_TEST(b.mesh.Send(from, MakeOutcomes(5)));
  BOOST_REQUIRE(a.inbox.WaitMessages(1));
  const auto reply = a.inbox.messages().front().second;
  BOOST_TEST(std::get<PartOutcomes>(reply).part.value == 5U);

  BOOST_TEST(a.mesh.Send(b.peer(), PartCancel{part.origin}));
  BOOST_REQUIRE(b.inbox.WaitMessages(2));
  const auto cancel = std::get<PartCancel>(b.inbox.messages().back().second);
  BOOST_TEST((cancel.origin == part.origin));
}

BOOST_AUTO_TEST_CASE(messages_of_one_sender_keep_their_order) {
  constexpr uint64_t kCount = 2000;
  Node a("a");
  Node b("b");
  for (uint64_t i = 0; i < kCount; ++i) {
    BOOST_REQUIRE(a.mesh.Send(b.peer(), MakePart(i)));
  }
  BOOST_REQUIRE(b.inbox.WaitMessages(kCount));
  const auto messages = b.inbox.messages();
  BOOST_REQUIRE(messages.size() == kCount);
  for (uint64_t i = 0; i < kCount; ++i) {
    BOOST_TEST(std::get<PartRequest>(messages[i].second).origin.part.value ==
               i);
  }
  BOOST_TEST(a.mesh.counts().frames_sent <= kCount);
}

BOOST_AUTO_TEST_CASE(sending_to_an_unknown_instance_fails) {
  Node a("a");
  BOOST_TEST(!a.mesh.Send(InstanceId("nobody"), MakePart(1)));
}

// An instance is started with a key from an old settings file. Its peers must
// reject its messages, and it must learn that they are lost.
BOOST_AUTO_TEST_CASE(a_peer_with_another_key_is_rejected) {
  Node a("a", 1, {}, 0, "old secret");
  Node b("b");
  BOOST_TEST(a.mesh.Send(b.peer(), MakePart(1)));
  BOOST_TEST(a.inbox.WaitFailure(b.id));
  BOOST_TEST(b.inbox.messages().empty());
  BOOST_TEST(b.mesh.counts().rejected_connections == 1U);
}

// An instance crashes and a new one starts at the same address. Work for the
// previous incarnation reaches the new one, which doesn't know it; the caller
// would wait for the deadline.
BOOST_AUTO_TEST_CASE(work_for_a_previous_incarnation_is_not_delivered) {
  Node a("a");
  Node b("b", 2);
  BOOST_TEST(a.mesh.Send(b.peer(1), MakePart(1)));
  BOOST_TEST(a.inbox.WaitFailure(b.id));
  BOOST_TEST(a.mesh.Send(b.peer(2), MakePart(2)));
  BOOST_REQUIRE(b.inbox.WaitMessages(1));
  const auto message = b.inbox.messages().front().second;
  BOOST_TEST(std::get<PartRequest>(message).origin.part.value == 2U);
}

// The platform reassigns an instance's IP address to another instance. Messages
// for the first must not be accepted by the second.
BOOST_AUTO_TEST_CASE(work_for_another_instance_is_not_delivered) {
  Node a("a");
  Node c("c");
  const hibiscuspick::membership::Peer stale{InstanceId("b"), c.mesh.address(),
                                             hibiscuspick::Incarnation(1)};
  BOOST_TEST(a.mesh.Send(stale, MakePart(1)));
  BOOST_TEST(a.inbox.WaitFailure(InstanceId("b")));
  BOOST_TEST(c.inbox.messages().empty());
}

// A peer dies while it works on a part and no message is being sent to it. The
// origin must be notified at once, not with its next message.
BOOST_AUTO_TEST_CASE(the_death_of_an_idle_peer_is_detected) {
  Node a("a");
  auto b = std::make_unique<Node>("b");
  BOOST_TEST(a.mesh.Send(b->peer(), MakePart(1)));
  BOOST_REQUIRE(b->inbox.WaitMessages(1));
  b->mesh.Stop();
  BOOST_TEST(a.inbox.WaitFailure(b->id));
}

BOOST_AUTO_TEST_CASE(an_unreachable_peer_is_reported) {
  Node a("a");
  auto b = std::make_unique<Node>("b");
  const auto peer = b->peer();
  b.reset();
  BOOST_TEST(a.mesh.Send(peer, MakePart(1)));
  BOOST_TEST(a.inbox.WaitFailure(peer.id));
}

BOOST_AUTO_TEST_CASE(a_message_over_the_frame_limit_is_rejected) {
  Node a("a");
  Node b("b");
  auto part = MakePart(1);
  part.query.assign(MeshLimits().max_frame, 'x');
  BOOST_TEST(!a.mesh.Send(b.peer(), part));
}

BOOST_AUTO_TEST_CASE(an_address_in_use_is_an_error) {
  Node a("a");
  Node b("b", 1, {}, a.mesh.address().port);
  BOOST_TEST(!b.started);
}
