// Invalid, unauthenticated and newer clients of the inner port.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/inner/wire.h"
#include "inner_types.h"
#include "mesh_fixture.h"
#include "raw_client.h"

namespace data = boost::unit_test::data;
namespace protocol = apache::thrift::protocol;
namespace wire = hibiscuspick::inner::wire;
using hibiscuspick::Code;
using hibiscuspick::Millis;
using hibiscuspick::inner::kProtocolVersion;
using hibiscuspick::inner::MeshLimits;
using hibiscuspick::inner::Message;
using hibiscuspick::inner::ToWire;
using hibiscuspick::inner::testing::CallOf;
using hibiscuspick::inner::testing::Framed;
using hibiscuspick::inner::testing::GoodHello;
using hibiscuspick::inner::testing::HelloFrame;
using hibiscuspick::inner::testing::HelloReplyOf;
using hibiscuspick::inner::testing::MakePart;
using hibiscuspick::inner::testing::Node;
using hibiscuspick::inner::testing::RawClient;
using hibiscuspick::inner::testing::TProtocol;
using hibiscuspick::limits::PartRequest;

namespace {

// A deliver frame with a list of messages, each written by a function.
using Writer = std::function<void(TProtocol*)>;
std::string DeliverFrame(const std::vector<Writer>& messages) {
  return CallOf("deliver", protocol::T_ONEWAY, protocol::T_LIST,
                [&](TProtocol* it) {
                  it->writeListBegin(protocol::T_STRUCT,
                                     static_cast<uint32_t>(messages.size()));
                  for (const auto& write : messages) write(it);
                  it->writeListEnd();
                });
}

void WritePart(TProtocol* it) { ToWire(MakePart(1)).write(it); }

// A message whose only field is of a kind that this version does not know.
void WriteUnknownKind(TProtocol* it) {
  it->writeStructBegin("Message");
  it->writeFieldBegin("later", protocol::T_STRUCT, 99);
  it->writeStructBegin("Later");
  it->writeFieldBegin("x", protocol::T_I64, 1);
  it->writeI64(1);
  it->writeFieldEnd();
  it->writeFieldStop();
  it->writeStructEnd();
  it->writeFieldEnd();
  it->writeFieldStop();
  it->writeStructEnd();
}

// A cancel with a field that a later version added.
void WriteCancelWithMore(TProtocol* it) {
  it->writeStructBegin("Message");
  it->writeFieldBegin("cancel", protocol::T_STRUCT, 3);
  it->writeStructBegin("PartCancel");
  it->writeFieldBegin("instance", protocol::T_STRING, 1);
  it->writeString(std::string("raw"));
  it->writeFieldEnd();
  it->writeFieldBegin("reason", protocol::T_STRING, 77);
  it->writeString(std::string("a later version's"));
  it->writeFieldEnd();
  it->writeFieldBegin("part", protocol::T_I64, 3);
  it->writeI64(5);
  it->writeFieldEnd();
  it->writeFieldStop();
  it->writeStructEnd();
  it->writeFieldEnd();
  it->writeFieldStop();
  it->writeStructEnd();
}

struct BytesCase {
  std::string name;
  std::string bytes;
};
std::ostream& operator<<(std::ostream& out, const BytesCase& it) {
  return out << it.name;
}

const BytesCase kBadBytes[] = {
    {"an HTTP request", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
    {"a frame over the limit", std::string("\x7f\xff\xff\xff", 4)},
    {"a negative frame", std::string("\xff\xff\xff\xff", 4)},
    {"no message in a frame", Framed("not thrift at all")},
    {"a string longer than its frame",
     Framed(std::string("\x80\x01\x00\x01\x7f\xff\xff\xff", 8) + "hello")},
    {"deliver before hello", DeliverFrame({WritePart})},
};

struct HelloCase {
  std::string name;
  std::string key;
  int version;
  Code code;
};
std::ostream& operator<<(std::ostream& out, const HelloCase& it) {
  return out << it.name;
}

const HelloCase kHellos[] = {
    {"good", "secret", 1, Code::kOk},
    {"a later version", "secret", 9, Code::kOk},
    {"too old", "secret", 0, Code::kPeerVersion},
    {"another key", "Secret", 1, Code::kPeerRefused},
    {"a longer key", "secretsecret", 1, Code::kPeerRefused},
    {"no key", "", 1, Code::kPeerRefused},
};

}  // namespace

// A port scanner, a misdirected client or a faulty peer connects to the inner
// port. Its connection must be closed without affecting any other traffic.
BOOST_DATA_TEST_CASE(invalid_bytes_close_only_their_connection,
                     data::make(kBadBytes), it) {
  Node node("b");
  RawClient client(node.mesh.address());
  BOOST_REQUIRE(client.connected());
  client.Send(it.bytes);
  BOOST_TEST(client.IsClosed());

  Node a("a");
  BOOST_TEST(a.mesh.Send(node.peer(), MakePart(2)));
  BOOST_REQUIRE(node.inbox.WaitMessages(1));
  BOOST_TEST(node.inbox.messages().size() == 1U);
}

BOOST_DATA_TEST_CASE(hello_needs_the_key_and_a_version, data::make(kHellos),
                     it) {
  Node node("b", 7);
  RawClient client(node.mesh.address());
  auto hello = GoodHello();
  hello.key = it.key;
  hello.protocol_version = it.version;
  client.Send(HelloFrame(hello));
  const auto reply = HelloReplyOf(client.ReadFrame());
  BOOST_TEST(reply.accepted == (it.code == Code::kOk));
  BOOST_TEST(reply.code == static_cast<int>(it.code));
  BOOST_TEST(reply.protocol_version == kProtocolVersion);
  const bool named = it.code != Code::kPeerRefused;
  BOOST_TEST(reply.instance == (named ? "b" : ""));

  client.Send(DeliverFrame({WritePart}));
  if (it.code == Code::kOk) {
    BOOST_TEST(node.inbox.WaitMessages(1));
  } else {
    BOOST_TEST(client.IsClosed());
    BOOST_TEST(node.inbox.messages().empty());
  }
}

// During an upgrade a newer instance sends kinds and fields that an older one
// does not know. The older one must still receive those that it knows.
BOOST_AUTO_TEST_CASE(unknown_kinds_and_fields_are_ignored) {
  Node node("b");
  RawClient client(node.mesh.address());
  client.Send(HelloFrame(GoodHello()));
  BOOST_REQUIRE(HelloReplyOf(client.ReadFrame()).accepted);
  client.Send(DeliverFrame({WriteUnknownKind, WriteCancelWithMore, WritePart}));
  BOOST_REQUIRE(node.inbox.WaitMessages(2));
  const auto messages = node.inbox.messages();
  const auto& cancel =
      std::get<hibiscuspick::inner::PartCancel>(messages.at(0).second);
  BOOST_TEST(cancel.origin.part.value == 5U);
  BOOST_TEST(std::holds_alternative<PartRequest>(messages.at(1).second));
}

// A client opens connections and sends nothing, or a byte now and then. Peers
// must still be accepted, and the client's connections must be closed.
BOOST_AUTO_TEST_CASE(pending_connections_do_not_block_peers) {
  constexpr size_t kConnections = 4;
  MeshLimits limits;
  limits.max_pending_connections = kConnections;
  limits.hello_timeout = Millis(200);
  Node node("b", 1, limits);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i < kConnections; ++i) {
    clients.push_back(std::make_unique<RawClient>(node.mesh.address()));
    clients.back()->Send(std::string(1, '\0'));
  }
  for (auto& it : clients) BOOST_TEST(it->IsClosed());
  Node a("a");
  BOOST_TEST(a.mesh.Send(node.peer(), MakePart(1)));
  BOOST_TEST(node.inbox.WaitMessages(1));
}

BOOST_AUTO_TEST_CASE(an_excess_pending_connection_is_closed) {
  MeshLimits limits;
  limits.max_pending_connections = 0;
  Node node("b", 1, limits);
  RawClient client(node.mesh.address());
  BOOST_TEST(client.IsClosed());
}

// A settings file lists the instance's own address among the seeds.
BOOST_AUTO_TEST_CASE(an_instance_does_not_connect_to_itself) {
  Node node("b");
  BOOST_TEST(node.mesh.Send(node.peer(), MakePart(1)));
  BOOST_TEST(node.inbox.WaitFailure(node.id));
  BOOST_TEST(node.inbox.messages().empty());
}
