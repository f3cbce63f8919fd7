#include "link.h"

#include <algorithm>
#include <utility>

#include "framed.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/inner/wire.h"
#include "size.h"

namespace hibiscuspick::inner {
namespace {

using apache::thrift::TException;
using apache::thrift::transport::TSocket;

int ToInt(Millis it) { return static_cast<int>(it.count); }

// Half of the other side's idle timeout, so that this side always closes an
// idle connection; if the other side did, it would look like a crash.
Millis IdleTimeoutOf(const MeshLimits& limits) {
  return limits.idle_timeout * 0.5;
}

}  // namespace

Link::Link(const Address& address, const MeshLimits& limits, Identity* identity,
           Counters* counters, const MeshCallbacks* callbacks,
           HangupWatch* watch)
    : address_(address),
      limits_(limits),
      identity_(identity),
      counters_(counters),
      callbacks_(callbacks),
      watch_(watch) {
  thread_ = std::thread([this] { Run(); });
}

Link::~Link() {
  BeginStop();
  thread_.join();
}

void Link::BeginStop() {
  const std::lock_guard lock(mutex_);
  stopping_ = true;
  wake_.notify_all();
}

Link::EnqueueResult Link::Enqueue(const membership::Peer& to, Message message) {
  const Millis now = SteadyNow();
  const std::lock_guard lock(mutex_);
  if (ended_ || stopping_) return EnqueueResult::kEnded;
  if (now < reject_until_) return EnqueueResult::kRejected;
  const bool traffic = IsTraffic(message);
  auto& queue = traffic ? traffic_ : control_;
  const size_t limit =
      traffic ? limits_.max_queued_traffic : limits_.max_queued_control;
  if (queue.size() >= limit) return EnqueueResult::kRejected;
  queue.push_back({to, std::move(message), now});
  wake_.notify_one();
  return EnqueueResult::kQueued;
}

void Link::Run() {
  Items batch;
  while (WaitForWork(&batch)) {
    Deliver(std::move(batch));
    batch.clear();
  }
  Disconnect();
}

bool Link::WaitForWork(Items* batch) {
  std::unique_lock lock(mutex_);
  const auto has_work = [this] {
    return stopping_ || hung_up_ || !traffic_.empty() || !control_.empty();
  };
  const bool woken =
      wake_.wait_for(lock, IdleTimeoutOf(limits_).ToMicros(), has_work);
  if (stopping_ || !woken) {
    ended_ = true;
    return false;
  }
  TakeBatch(batch);
  return true;
}

void Link::TakeBatch(Items* batch) {
  size_t bytes = 0;
  const auto take = [&](std::deque<Item>* queue) {
    bytes += ApproximateSize(queue->front().message);
    batch->push_back(std::move(queue->front()));
    queue->pop_front();
  };
  while (!traffic_.empty() && bytes < limits_.batch_bytes) take(&traffic_);
  // Control messages go last, but every batch includes one: under sustained
  // traffic the peers would otherwise consider this instance dead.
  if (!control_.empty()) take(&control_);
  while (!control_.empty() && bytes < limits_.batch_bytes) take(&control_);
}

void Link::RecordHangup() {
  const std::lock_guard lock(mutex_);
  hung_up_ = true;
  wake_.notify_one();
}

void Link::Disconnect() {
  if (watch_number_ != 0) watch_->Remove(watch_number_);
  watch_number_ = 0;
  client_.reset();
  try {
    if (socket_) socket_->close();
  } catch (const TException&) {
    // The socket is closed in either case.
  }
  socket_.reset();
  const std::lock_guard lock(mutex_);
  hung_up_ = false;
}

bool Link::Connect() {
  socket_ = std::make_shared<TSocket>(address_.ip, address_.port);
  socket_->setConnTimeout(ToInt(limits_.connect_timeout));
  socket_->setSendTimeout(ToInt(limits_.write_timeout));
  socket_->setRecvTimeout(ToInt(limits_.connect_timeout));
  socket_->setNoDelay(true);
  try {
    socket_->open();
    const auto framed =
        MakeFramed(socket_, limits_.max_frame,
                   {&counters_->bytes_sent, &counters_->bytes_received});
    client_ = std::make_unique<wire::InnerClient>(
        MakeProtocolFactory(limits_.max_frame)->getProtocol(framed));
    return SendHello(socket_->getSocketFD());
  } catch (const TException& ex) {
    Log(Part::kMembers)
        .debug("Could not connect to {}: {}.", ToText(address_), ex.what());
    return false;
  }
}

bool Link::SendHello(int fd) {
  wire::Hello hello;
  hello.protocol_version = kProtocolVersion;
  hello.key = identity_->key;
  hello.instance = identity_->self.text;
  hello.incarnation = static_cast<int64_t>(identity_->incarnation.load());
  hello.data_centre = identity_->data_centre.text;
  hello.__set_inner_address(ToText(identity_->address));
  wire::HelloReply reply;
  client_->hello(reply, hello);
  const bool is_supported = reply.protocol_version >= kMinProtocolVersion;
  if (!reply.accepted || !is_supported) {
    Log(Part::kMembers)
        .warn(
            "Connection rejected by {}: {} (its protocol version {}, ours {}).",
            ToText(address_), CodeName(static_cast<Code>(reply.code)),
            reply.protocol_version, kProtocolVersion);
    return false;
  }
  peer_.id = InstanceId(reply.instance);
  peer_.incarnation = Incarnation(static_cast<uint64_t>(reply.incarnation));
  watch_number_ = watch_->Add(fd, [this] { RecordHangup(); });
  return true;
}

void Link::DropMisaddressed(Items* batch) {
  std::set<InstanceId> failed;
  const auto misaddressed = [&](const Item& it) {
    if (it.to.id.empty()) return false;
    const bool other = it.to.id != peer_.id;
    const bool other_incarnation =
        it.to.incarnation.value != 0 && it.to.incarnation != peer_.incarnation;
    // Gossip may reach a new incarnation of the same instance.
    const bool wrong = other || (other_incarnation && IsTraffic(it.message));
    if (wrong) failed.insert(it.to.id);
    return wrong;
  };
  const size_t n = std::erase_if(*batch, misaddressed);
  counters_->messages_dropped += n;
  ReportFailed(failed);
}

void Link::Deliver(Items batch) {
  bool hung_up = false;
  {
    const std::lock_guard lock(mutex_);
    hung_up = hung_up_;
  }
  if (hung_up) {
    // Messages sent before may be lost, so the peer is reported as failed
    // although this batch is sent on a new connection.
    ReportFailed({peer_.id});
    Disconnect();
    if (batch.empty()) return;
  }
  if (!client_ && !Connect()) {
    FailAll(std::move(batch));
    return;
  }
  DropMisaddressed(&batch);
  if (batch.empty()) return;
  const Millis now = SteadyNow();
  std::vector<wire::Message> messages;
  messages.reserve(batch.size());
  for (const auto& it : batch) {
    messages.push_back(ToWire(it.message, now - it.queued));
  }
  try {
    client_->deliver(messages);
  } catch (const TException& ex) {
    Log(Part::kMembers)
        .debug("Connection to {} lost: {}.", ToText(address_), ex.what());
    FailAll(std::move(batch));
    return;
  }
  ++counters_->frames_sent;
  counters_->messages_sent += batch.size();
}

void Link::FailAll(Items batch) {
  Disconnect();
  {
    const std::lock_guard lock(mutex_);
    reject_until_ = SteadyNow() + limits_.reconnect_backoff;
    for (auto* queue : {&traffic_, &control_}) {
      std::move(queue->begin(), queue->end(), std::back_inserter(batch));
      queue->clear();
    }
  }
  counters_->messages_dropped += batch.size();
  std::set<InstanceId> failed;
  for (const auto& it : batch) {
    if (!it.to.id.empty()) failed.insert(it.to.id);
  }
  ReportFailed(failed);
}

void Link::ReportFailed(const std::set<InstanceId>& peers) {
  for (const auto& it : peers) callbacks_->on_peer_failed(it);
}

}  // namespace hibiscuspick::inner
