#include "hibiscuspick/inner/peer_mesh.h"

#include <thrift/TOutput.h>

#include <map>
#include <mutex>
#include <utility>

#include "hangup_watch.h"
#include "hibiscuspick/base/log.h"
#include "identity.h"
#include "link.h"
#include "listener.h"
#include "size.h"

namespace hibiscuspick::inner {

namespace {

// Thrift would print to standard error otherwise.
void LogThrift(const char* text) { Log(Part::kMembers).debug("{}", text); }

}  // namespace

class PeerMesh::Impl {
 public:
  Impl(MeshSettings settings, MeshCallbacks callbacks)
      : limits_(settings.limits),
        listen_(std::move(settings.listen)),
        callbacks_(std::move(callbacks)),
        listener_(limits_, &identity_, &counters_, &callbacks_,
                  [this](const InstanceId& id, Incarnation incarnation,
                         const Address& address) {
                    LearnAddress(id, incarnation, address);
                  }) {
    identity_.self = std::move(settings.self);
    identity_.data_centre = std::move(settings.data_centre);
    identity_.key = std::move(settings.key);
    identity_.incarnation = settings.incarnation.value;
  }

  Result<Done> Start() {
    apache::thrift::GlobalOutput.setOutputFunction(LogThrift);
    watch_.Start();
    const auto port = listener_.Start(listen_);
    if (!IsOk(port)) return ErrorOf(port);
    identity_.address = {listen_.ip, ValueOf(port)};
    const std::lock_guard lock(mutex_);
    running_ = true;
    return Done{};
  }

  void Stop() {
    std::map<Address, std::unique_ptr<Link>> links;
    {
      const std::lock_guard lock(mutex_);
      running_ = false;
      links.swap(links_);
    }
    for (auto& [address, it] : links) it->BeginStop();
    links.clear();
    listener_.Stop();
    watch_.Stop();
  }

  void SetPeers(const std::vector<membership::Peer>& peers) {
    std::vector<std::unique_ptr<Link>> ended;
    const std::lock_guard lock(mutex_);
    peers_.clear();
    for (const auto& it : peers) peers_[it.id] = it;
    // A current member's address needs no hello; the rest is bounded.
    std::erase_if(learned_, [&](const auto& it) {
      const auto known = peers_.find(it.first);
      return known != peers_.end() &&
             known->second.incarnation >= it.second.incarnation;
    });
    if (learned_.size() > kMaxLearned) learned_.clear();
    ReapEnded(&ended);
  }

  bool Send(const InstanceId& to, Message message) {
    return Send(membership::Peer{to, {}, {}}, std::move(message));
  }

  bool Send(const membership::Peer& to, Message message) {
    if (ApproximateSize(message) > limits_.max_frame) return false;
    // Destroyed after the lock is released: joining a thread takes time.
    std::vector<std::unique_ptr<Link>> ended;
    const std::lock_guard lock(mutex_);
    if (!running_) return false;
    const auto peer = Resolve(to);
    if (peer.address.port == 0) return false;
    auto& link = links_[peer.address];
    if (!link) link = MakeLink(peer.address);
    auto result = link->Enqueue(peer, message);
    if (result == Link::EnqueueResult::kEnded) {
      ended.push_back(std::exchange(link, MakeLink(peer.address)));
      result = link->Enqueue(peer, std::move(message));
    }
    if (result == Link::EnqueueResult::kQueued) return true;
    ++counters_.messages_dropped;
    return false;
  }

  const Address& address() const { return identity_.address; }

  void SetIncarnation(Incarnation incarnation) {
    identity_.incarnation = incarnation.value;
  }

  MeshCounts counts() const {
    MeshCounts result;
    result.messages_sent = counters_.messages_sent;
    result.frames_sent = counters_.frames_sent;
    result.messages_received = counters_.messages_received;
    result.messages_dropped = counters_.messages_dropped;
    result.rejected_connections = counters_.rejected_connections;
    result.bytes_sent = counters_.bytes_sent;
    result.bytes_received = counters_.bytes_received;
    return result;
  }

 private:
  static constexpr size_t kMaxLearned = 4096;

  // The address of the peer's latest known incarnation: from the member list,
  // or from a hello of a later incarnation.
  membership::Peer Resolve(const membership::Peer& to) const {
    if (to.address.port != 0 || to.id.empty()) return to;
    auto latest = to;
    for (const auto* known : {&peers_, &learned_}) {
      const auto it = known->find(to.id);
      if (it == known->end()) continue;
      const bool later = it->second.incarnation > latest.incarnation;
      if (latest.address.port == 0 || later) latest = it->second;
    }
    return latest;
  }

  void LearnAddress(const InstanceId& id, Incarnation incarnation,
                    const Address& address) {
    const std::lock_guard lock(mutex_);
    auto& known = learned_[id];
    if (incarnation < known.incarnation) return;
    known = {id, address, incarnation};
  }

  std::unique_ptr<Link> MakeLink(const Address& address) {
    return std::make_unique<Link>(address, limits_, &identity_, &counters_,
                                  &callbacks_, &watch_);
  }

  void ReapEnded(std::vector<std::unique_ptr<Link>>* ended) {
    for (auto it = links_.begin(); it != links_.end();) {
      if (!it->second->ended()) {
        ++it;
        continue;
      }
      ended->push_back(std::move(it->second));
      it = links_.erase(it);
    }
  }

  const MeshLimits limits_;
  const Address listen_;
  const MeshCallbacks callbacks_;
  Identity identity_;
  Counters counters_;
  HangupWatch watch_;
  Listener listener_;

  std::mutex mutex_;
  std::map<InstanceId, membership::Peer> peers_;
  std::map<InstanceId, membership::Peer> learned_;
  std::map<Address, std::unique_ptr<Link>> links_;
  bool running_ = false;
};

PeerMesh::PeerMesh(MeshSettings settings, MeshCallbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(callbacks))) {
}

PeerMesh::~PeerMesh() { impl_->Stop(); }

Result<Done> PeerMesh::Start() { return impl_->Start(); }

void PeerMesh::Stop() { impl_->Stop(); }

Address PeerMesh::address() const { return impl_->address(); }

void PeerMesh::SetPeers(const std::vector<membership::Peer>& peers) {
  impl_->SetPeers(peers);
}

void PeerMesh::SetIncarnation(Incarnation incarnation) {
  impl_->SetIncarnation(incarnation);
}

bool PeerMesh::Send(const InstanceId& to, Message message) {
  return impl_->Send(to, std::move(message));
}

bool PeerMesh::Send(const membership::Peer& to, Message message) {
  return impl_->Send(to, std::move(message));
}

MeshCounts PeerMesh::counts() const { return impl_->counts(); }

}  // namespace hibiscuspick::inner
