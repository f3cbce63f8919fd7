#include <thrift/transport/TBufferTransports.h>

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "../src/framed.h"
#include "hibiscuspick/inner/wire.h"
#include "inner_types.h"
#include "mesh_fixture.h"
#include "mutation.h"

namespace data = boost::unit_test::data;

namespace hibiscuspick::inner {
namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TMessageType;
using apache::thrift::transport::TMemoryBuffer;

constexpr int kRounds = 4000;
constexpr size_t kMaxFrame = 1 << 16;
constexpr std::string_view kEmptyFrame("\x00\x00\x00\x00", 4);

// Type bytes with field numbers, negative and huge lengths, and a frame's own
// length.
constexpr std::string_view kTokens[] = {
    std::string_view("\x0f\x00\x01\x0c", 4),
    std::string_view("\x0b\x00\x01", 3),
    std::string_view("\x0c\x00\x02", 3),
    std::string_view("\x0a\x00\x03", 3),
    std::string_view("\x00", 1),
    std::string_view("\xff\xff\xff\xff", 4),
    std::string_view("\x7f\xff\xff\xff", 4),
    std::string_view("\x00\x01\x00\x00", 4),
    std::string_view("\x00\x00\x00\x01", 4),
    std::string_view("\x7f\xf8\x00\x00\x00\x00\x00\x00", 8),
    "127.0.0.1",
};

std::atomic<uint64_t> sent_bytes{0};
std::atomic<uint64_t> received_bytes{0};

std::shared_ptr<apache::thrift::protocol::TProtocol> ProtocolOver(
    const std::shared_ptr<TMemoryBuffer>& buffer) {
  return MakeProtocolFactory(kMaxFrame)->getProtocol(
      MakeFramed(buffer, kMaxFrame, {&sent_bytes, &received_bytes}));
}

std::string Encode(const wire::Message& message) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  const auto protocol = ProtocolOver(buffer);
  protocol->writeMessageBegin("deliver", TMessageType::T_ONEWAY, 0);
  message.write(protocol.get());
  protocol->writeMessageEnd();
  protocol->getTransport()->flush();
  return buffer->getBufferAsString();
}

// Returns nullopt if Thrift rejects the frame, which ends a connection. Any
// exception that isn't Thrift's own fails the test.
std::optional<wire::Message> Decode(const std::string& frame) {
  // For no bytes or an empty frame, a socket ends the connection; the memory
  // buffer would copy zero bytes from or to a null pointer instead.
  if (frame.empty() || frame.starts_with(kEmptyFrame)) return std::nullopt;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  buffer->resetBuffer(static_cast<uint32_t>(frame.size()));
  buffer->write(reinterpret_cast<const uint8_t*>(frame.data()),
                static_cast<uint32_t>(frame.size()));
  wire::Message message;
  std::string call;
  TMessageType type = TMessageType::T_ONEWAY;
  int32_t number = 0;
  try {
    const auto protocol = ProtocolOver(buffer);
    protocol->readMessageBegin(call, type, number);
    message.read(protocol.get());
  } catch (const TException&) {
    return std::nullopt;
  }
  return message;
}

membership::MemberState MakeMember() {
  membership::MemberState state;
  state.id = InstanceId("oslo-1-i001");
  state.data_centre = DataCentreId("oslo-1");
  state.inner = {"10.20.30.40", 8201};
  state.incarnation = Incarnation(1796000000000);
  return state;
}

membership::Digest MakeDigest() {
  membership::Digest digest;
  digest.sender = MakeMember();
  digest.member_buckets = {1, 2, 3};
  digest.heartbeat_keys = {4, 5};
  digest.heartbeats = {6, 7};
  digest.data_centres = {{DataCentreId("oslo-2"), Millis(12.5)}};
  return digest;
}

membership::MembershipDelta MakeDelta() {
  membership::MembershipDelta delta;
  delta.members = {MakeMember()};
  delta.servers.push_back({BackendServerId("b1"), Incarnation(3), 1, true});
  return delta;
}

PartOutcomes MakeOutcomes() {
  PartOutcomes outcomes;
  outcomes.outcomes.push_back({ShardId("p2"),
                               Code::kShed,
                               Ran::kNo,
                               3,
                               {{"doc-1", 0.5, "{}"}},
                               {IndexVersion(6)}});
  return outcomes;
}

struct FuzzRow {
  const char* name;
  Message message;
};
std::ostream& operator<<(std::ostream& out, const FuzzRow& row) {
  return out << row.name;
}

const FuzzRow kRows[] = {
    {"part", testing::MakePart(5)},
    {"outcomes", MakeOutcomes()},
    {"cancel", PartCancel{{InstanceId("a"), Incarnation(1), PartId(2)}}},
    {"digest", MakeDigest()},
    {"news", MakeDelta()},
    {"configuration",
     settings::ConfigDelta{
         Revision(1), Revision(9), {{"routes/a", Revision(4), "{}"}}}},
};

}  // namespace

// A frame is damaged or comes from a faulty release. An instance that crashed
// on it would lose its queries, and gossip would carry the same frame to the
// next one. One that forwarded something other than it decoded would spread a
// state that no instance has.
BOOST_DATA_TEST_CASE(damaged_frames_are_rejected_or_forwarded_unchanged,
                     data::make(kRows), row) {
  Random random(4);
  const std::string good = Encode(ToWire(row.message));
  int read = 0;
  int refused = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto damaged =
        Decode(hibiscuspick::testing::Mutate(good, kTokens, &random));
    const auto message = damaged ? FromWire(*damaged) : std::nullopt;
    if (!message) {
      ++refused;
      continue;
    }
    ++read;
    const std::string frame = Encode(ToWire(*message));
    const auto decoded = Decode(frame);
    BOOST_REQUIRE(decoded.has_value());
    const auto again = FromWire(*decoded);
    BOOST_REQUIRE(again.has_value());
    BOOST_REQUIRE(Encode(ToWire(*again)) == frame);
  }
  BOOST_TEST(read > 0);
  BOOST_TEST(refused > 0);
}

}  // namespace hibiscuspick::inner
