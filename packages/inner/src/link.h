// The outgoing connection to one address, with its queue and its thread.
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

// The thread sends all that is queued in one deliver, so that messages are
// batched just when there is much to send. It ends after a while without work;
// the mesh then makes a new link for the next message.
class Link {
 public:
  Link(const Address& address, const MeshLimits& limits, Identity* identity,
       Counters* counters, const MeshCallbacks* callbacks, HangupWatch* watch);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  enum class Offered { kQueued, kRefused, kEnded };

  // Takes a message for the peer. kRefused: the queue is full or the last
  // connect failed a moment ago. kEnded: the link's thread is done.
  Offered Offer(const membership::Peer& to, Message message);

  bool ended() const { return ended_; }
  // Tells the thread to end; the destructor waits for it.
  void BeginStop();

 private:
  struct Item {
    membership::Peer to;
    Message message;
    Millis queued;
  };
  using Items = std::vector<Item>;

  void Run();
  // False if the link is to end.
  bool WaitForWork(Items* batch);
  void TakeBatch(Items* batch);
  void Deliver(Items batch);
  bool Connect();
  bool SayHello(int fd);
  void Disconnect();
  // Takes out what was meant for another process than the one that answers.
  void DropMisaddressed(Items* batch);
  void FailAll(Items batch);
  void Report(const std::set<InstanceId>& peers);
  void NoteHangup();

  const Address address_;
  const MeshLimits& limits_;
  Identity* const identity_;
  Counters* const counters_;
  const MeshCallbacks* const callbacks_;
  HangupWatch* const watch_;

  // Of the thread only.
  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::unique_ptr<wire::InnerClient> client_;
  // Who said hello at the other end.
  membership::Peer peer_;
  uint64_t watch_number_ = 0;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Item> traffic_;
  std::deque<Item> control_;
  Millis refuse_until_{0};
  bool hung_up_ = false;
  bool stopping_ = false;
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

}  // namespace hibiscuspick::inner
