// The outgoing connection to one address, with its queues and its thread.
#pragma once

#include <thrift/transport/TSocket.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Inner.h"
#include "hangup_watch.h"
#include "hibiscuspick/inner/peer_mesh.h"
#include "identity.h"

namespace hibiscuspick::inner {

// The thread sends all queued messages in one deliver call, so batches grow
// with the load. It ends after an idle period; the mesh then creates a new link
// for the next message.
class Link {
 public:
  Link(const Address& address, const MeshLimits& limits, Identity* identity,
       Counters* counters, const MeshCallbacks* callbacks, HangupWatch* watch);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  enum class EnqueueResult { kQueued, kRejected, kEnded };

  // Queues a message for the peer. kRejected: the queue is full, or the last
  // connect has just failed. kEnded: the link's thread has ended.
  EnqueueResult Enqueue(const membership::Peer& to, Message message);

  bool ended() const { return ended_; }
  // Tells the thread to end; the destructor joins it.
  void BeginStop();

 private:
  struct Item {
    membership::Peer to;
    Message message;
    Millis queued;
  };
  using Items = std::vector<Item>;

  void Run();
  // Returns false if the link is to end.
  bool WaitForWork(Items* batch);
  void TakeBatch(Items* batch);
  void Deliver(Items batch);
  bool Connect();
  bool SendHello(int fd);
  void Disconnect();
  // Removes messages for a process other than the connected one.
  void DropMisaddressed(Items* batch);
  void FailAll(Items batch);
  void ReportFailed(const std::set<InstanceId>& peers);
  void RecordHangup();

  const Address address_;
  const MeshLimits& limits_;
  Identity* const identity_;
  Counters* const counters_;
  const MeshCallbacks* const callbacks_;
  HangupWatch* const watch_;

  // Used only by the thread.
  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::unique_ptr<wire::InnerClient> client_;
  // The identity in the peer's hello reply.
  membership::Peer peer_;
  uint64_t watch_number_ = 0;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Item> traffic_;
  std::deque<Item> control_;
  Millis reject_until_{0};
  bool hung_up_ = false;
  bool stopping_ = false;
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

}  // namespace hibiscuspick::inner
