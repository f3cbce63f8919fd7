#include "session.h"

#include <sys/socket.h>

#include <utility>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/inner/wire.h"

namespace hibiscuspick::inner {
namespace {

int ToInt(Millis it) { return static_cast<int>(it.count); }

}  // namespace

Session::Session(const Context& context,
                 std::shared_ptr<apache::thrift::transport::TSocket> socket)
    : context_(context), socket_(std::move(socket)) {
  pending_number_ = context_.pending_connections->Add(socket_->getSocketFD());
}

Session::~Session() { context_.pending_connections->Remove(pending_number_); }

Code Session::CheckHello(const wire::Hello& hello) const {
  if (!KeysEqual(hello.key, context_.identity->key)) return Code::kPeerRefused;
  if (hello.protocol_version < kMinProtocolVersion) {
    return Code::kPeerVersion;
  }
  // The instance's own address in a seed list, or a second process with its id.
  const bool is_other_instance =
      !hello.instance.empty() && hello.instance != context_.identity->self.text;
  return is_other_instance ? Code::kOk : Code::kPeerRefused;
}

void Session::Accept(const wire::Hello& hello) {
  accepted_ = true;
  peer_ = InstanceId(hello.instance);
  context_.pending_connections->Remove(pending_number_);
  socket_->setRecvTimeout(ToInt(context_.limits->idle_timeout));
  const auto address = ParseAddress(hello.inner_address);
  if (IsOk(address)) {
    const auto incarnation = static_cast<uint64_t>(hello.incarnation);
    (*context_.on_hello)(peer_, Incarnation(incarnation), ValueOf(address));
  }
}

void Session::Reject(const wire::Hello& hello, Code code) {
  ++context_.counters->rejected_connections;
  // An instance that finds its own address among the seeds is not reported. A
  // second process with this id has another incarnation, and the operator
  // should know of it.
  const auto own = static_cast<int64_t>(context_.identity->incarnation.load());
  const bool is_self = hello.instance == context_.identity->self.text &&
                       hello.incarnation == own;
  if (is_self) return;
  Log(Part::kMembers)
      .warn(
          "Incoming connection rejected: {} (its protocol version {}, ours "
          "{}).",
          CodeName(code), hello.protocol_version, kProtocolVersion);
}

void Session::hello(wire::HelloReply& reply, const wire::Hello& hello) {
  const Code code = CheckHello(hello);
  reply.accepted = code == Code::kOk;
  reply.code = static_cast<int32_t>(code);
  reply.protocol_version = kProtocolVersion;
  if (code == Code::kOk) {
    Accept(hello);
  } else {
    Reject(hello, code);
  }
  // The instance's identity is revealed only to peers with the right key.
  if (code == Code::kPeerRefused) return;
  reply.instance = context_.identity->self.text;
  reply.incarnation = static_cast<int64_t>(context_.identity->incarnation);
}

void Session::deliver(const std::vector<wire::Message>& messages) {
  if (!accepted_) {
    ++context_.counters->rejected_connections;
    ::shutdown(socket_->getSocketFD(), SHUT_RDWR);
    return;
  }
  for (const auto& it : messages) {
    auto message = FromWire(it);
    if (!message) continue;
    ++context_.counters->messages_received;
    context_.callbacks->on_message(peer_, std::move(*message));
  }
}

}  // namespace hibiscuspick::inner
