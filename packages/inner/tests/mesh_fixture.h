// Meshes on loopback, and an inbox to wait for messages.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/inner/peer_mesh.h"

namespace hibiscuspick::inner::testing {

// Far above any expected duration; reached only if a test hangs.
inline constexpr std::chrono::seconds kHang{30};

class Inbox {
 public:
  void Put(const InstanceId& from, Message message) {
    const std::lock_guard lock(mutex_);
    messages_.emplace_back(from, std::move(message));
    changed_.notify_all();
  }
  void PutFailure(const InstanceId& peer) {
    const std::lock_guard lock(mutex_);
    failures_.push_back(peer);
    changed_.notify_all();
  }

  // Returns false if the wait timed out.
  bool WaitMessages(size_t n) {
    return Wait([&] { return messages_.size() >= n; });
  }
  bool WaitFailure(const InstanceId& peer) {
    return Wait([&] {
      for (const auto& it : failures_) {
        if (it == peer) return true;
      }
      return false;
    });
  }
  std::vector<std::pair<InstanceId, Message>> messages() {
    const std::lock_guard lock(mutex_);
    return messages_;
  }
  std::vector<InstanceId> failures() {
    const std::lock_guard lock(mutex_);
    return failures_;
  }

 private:
  bool Wait(const std::function<bool()>& done) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kHang, done);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<InstanceId, Message>> messages_;
  std::vector<InstanceId> failures_;
};

struct Node {
  explicit Node(const std::string& name, uint64_t incarnation = 1,
                const MeshLimits& limits = {}, uint16_t port = 0,
                const std::string& key = "secret")
      : id(name),
        mesh({id,
              DataCentreId("osl-1"),
              Incarnation(incarnation),
              key,
              {"127.0.0.1", port},
              limits},
             {[this](const InstanceId& from, Message message) {
                inbox.Put(from, std::move(message));
              },
              [this](const InstanceId& peer) { inbox.PutFailure(peer); }}) {
    started = IsOk(mesh.Start());
  }

  membership::Peer peer(uint64_t incarnation = 0) const {
    return {id, mesh.address(), Incarnation(incarnation)};
  }

  InstanceId id;
  Inbox inbox;
  PeerMesh mesh;
  bool started = false;
};

inline limits::PartRequest MakePart(uint64_t number) {
  limits::PartRequest part;
  part.origin = {InstanceId("a"), Incarnation(1), PartId(number)};
  part.customer = CustomerId("fraud");
  part.route = RouteId("policies");
  part.lane = Lane::kUrgent;
  part.version = IndexVersion(7);
  part.time_left = Millis(200);
  part.query = R"({"name":"Ås"})";
  part.shards.push_back({ShardId("p2"),
                         ServiceId("claims-02"),
                         {BackendServerId("b3"), BackendServerId("b4")}});
  return part;
}

}  // namespace hibiscuspick::inner::testing
