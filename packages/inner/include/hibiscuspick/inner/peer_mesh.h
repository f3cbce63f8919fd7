// The connections between instances: one listener, and one outgoing connection
// to each peer that messages are sent to.
//
// Every message is one-way. A part's outcomes return as messages on a
// connection that the other side opens, to the address in this side's hello.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/inner/message.h"
#include "hibiscuspick/membership/member.h"

namespace hibiscuspick::inner {

struct MeshLimits {
  Millis connect_timeout{1000};
  Millis write_timeout{1000};
  // A connection that has been idle for this long is closed.
  Millis idle_timeout{60000};
  // The time from a connection's start to a valid hello.
  Millis hello_timeout{3000};
  // After a failed connect, messages to the peer are rejected for this long.
  Millis reconnect_backoff{200};
  size_t max_frame = 4 << 20;
  size_t max_connections = 2048;
  // Concurrent connections without a valid hello.
  size_t max_pending_connections = 64;
  // Queue limits for each peer, in messages.
  size_t max_queued_traffic = 4096;
  size_t max_queued_control = 64;
  // Approximate size of a batch, which is sent in one deliver call.
  size_t batch_bytes = 256 << 10;
};

struct MeshSettings {
  InstanceId self;
  DataCentreId data_centre;
  Incarnation incarnation;
  // The secret shared by all instances.
  std::string key;
  // Port 0 takes any free port.
  Address listen;
  MeshLimits limits;
};

struct MeshCallbacks {
  // Called for each received message, in order, on the thread that reads the
  // sender's connection. Must not block, since that delays the sender's next
  // messages.
  std::function<void(const InstanceId& from, Message message)> on_message;
  // Called when messages to the peer were lost, when another process answers at
  // its address, or when it closed the connection and may have lost messages.
  // Runs on the connection's writing thread; may call Send.
  std::function<void(const InstanceId& peer)> on_peer_failed;
};

// Counters since the start.
struct MeshCounts {
  uint64_t messages_sent = 0;
  uint64_t frames_sent = 0;
  uint64_t messages_received = 0;
  uint64_t messages_dropped = 0;
  uint64_t rejected_connections = 0;
  // Payload bytes of frames.
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
};

class PeerMesh {
 public:
  PeerMesh(MeshSettings settings, MeshCallbacks callbacks);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  // Binds and listens. Errors: kConnectFailed if the address can't be bound.
  Result<Done> Start();

  // Closes all connections and joins all threads; queued messages are dropped.
  void Stop();

  // The listening address; valid after Start.
  Address address() const;

  // Sets the members of the newest view. A member's address takes precedence
  // over one learned from its hello.
  void SetPeers(const std::vector<membership::Peer>& peers);

  // Sets the incarnation for later hellos, after membership::AdoptIncarnation.
  void SetIncarnation(Incarnation incarnation);

  // Queues the message for the peer and returns immediately. Returns false if
  // the peer's address is unknown, the queue is full, or a connect to the peer
  // has just failed. Then nothing was sent, and on_peer_failed isn't called for
  // it. A queued message can still be lost, which on_peer_failed reports.
  bool Send(const InstanceId& to, Message message);

  // As above, with the address given; an empty id accepts any instance there.
  bool Send(const membership::Peer& to, Message message);

  MeshCounts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hibiscuspick::inner
