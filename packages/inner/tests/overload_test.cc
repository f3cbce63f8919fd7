// Slow or dead peers and full queues.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "hibiscuspick/inner/wire.h"
#include "inner_types.h"
#include "mesh_fixture.h"

using hibiscuspick::Address;
using hibiscuspick::InstanceId;
using hibiscuspick::Millis;
using hibiscuspick::inner::MeshLimits;
using hibiscuspick::inner::Message;
using hibiscuspick::inner::testing::MakePart;
using hibiscuspick::inner::testing::Node;
using hibiscuspick::limits::PartRequest;
using hibiscuspick::membership::Digest;
using hibiscuspick::membership::Peer;

namespace {

// Accepts connections in the kernel and never reads.
class UnresponsiveListener {
 public:
  UnresponsiveListener() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd_, reinterpret_cast<sockaddr*>(&name), sizeof name);
    ::listen(fd_, 16);
    socklen_t size = sizeof name;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&name), &size);
    address_ = {"127.0.0.1", ntohs(name.sin_port)};
  }
  ~UnresponsiveListener() { ::close(fd_); }
  UnresponsiveListener(const UnresponsiveListener&) = delete;
  UnresponsiveListener& operator=(const UnresponsiveListener&) = delete;
  const Address& address() const { return address_; }

 private:
  const int fd_;
  Address address_;
};

}  // namespace

// A peer's process is stopped: its kernel accepts connections, but nobody
// reads. The sender gives up after the timeout, and messages to other peers are
// not delayed.
BOOST_AUTO_TEST_CASE(an_unresponsive_peer_does_not_delay_others) {
  const UnresponsiveListener listener;
  const Peer peer{InstanceId("deaf"), listener.address(), {}};
  Node a("a");
  Node b("b");
  BOOST_TEST(a.mesh.Send(peer, MakePart(1)));
  BOOST_TEST(a.mesh.Send(b.peer(), MakePart(2)));
  BOOST_TEST(b.inbox.WaitMessages(1));
  BOOST_TEST(a.inbox.WaitFailure(peer.id));
}

// More and more messages are sent to the same kind of peer: memory stays
// bounded, and the sender is notified.
BOOST_AUTO_TEST_CASE(a_full_queue_rejects_messages) {
  const UnresponsiveListener listener;
  const Peer peer{InstanceId("deaf"), listener.address(), {}};
  MeshLimits limits;
  limits.max_queued_traffic = 4;
  limits.max_queued_control = 2;
  limits.connect_timeout = Millis(2000);
  Node a("a", 1, limits);
  int control = 0;
  for (int i = 0; i < 20; ++i) {
    if (a.mesh.Send(peer, Digest())) ++control;
  }
  // The thread may already have taken some for its first batch.
  BOOST_TEST(control < 20);
  // Control messages have filled only their own queue.
  BOOST_TEST(a.mesh.Send(peer, MakePart(1)));
  BOOST_TEST(a.inbox.WaitFailure(peer.id));
}

// Thrift counts the bytes of a message against a limit of its own. On a
// connection that lives for days the count must not accumulate until the
// connection breaks.
BOOST_AUTO_TEST_CASE(a_long_lived_connection_carries_any_amount) {
  constexpr size_t kSize = 1 << 20;
  constexpr uint64_t kCount = 130;
  Node a("a");
  Node b("b");
  auto part = MakePart(1);
  part.query.assign(kSize, 'x');
  for (uint64_t i = 1; i <= kCount; ++i) {
    BOOST_REQUIRE(a.mesh.Send(b.peer(), part));
    BOOST_REQUIRE(b.inbox.WaitMessages(i));
  }
  BOOST_TEST(a.inbox.failures().empty());
  BOOST_TEST(b.mesh.counts().bytes_received > kSize * kCount);
}

// The time spent in the queue is subtracted from a part's time left; otherwise
// the owner would keep working for a caller that has been answered.
BOOST_AUTO_TEST_CASE(queueing_time_is_subtracted_from_time_left) {
  const auto sent =
      hibiscuspick::inner::ToWire(Message(MakePart(1)), Millis(50));
  BOOST_TEST(sent.part.time_left_ms == 150);
  const auto late =
      hibiscuspick::inner::ToWire(Message(MakePart(1)), Millis(500));
  BOOST_TEST(late.part.time_left_ms == 0);
}
