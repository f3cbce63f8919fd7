// The connections between instances: one listener, and one outgoing
// connection to each peer that is sent to.
//
// Every message is one-way. A part's outcomes come back as messages on the
// connection that the other side opens, to the address that its hello gave.
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
  // A connection over which nothing came for this long is closed.
  Millis idle_timeout{60000};
  // From a connection's start to a good hello.
  Millis hello_timeout{3000};
  // After a failed connect, messages to the peer fail at once for this long.
  Millis retry_after{200};
  size_t max_frame = 4 << 20;
  size_t max_connections = 2048;
  // Connections at once that have not said hello.
  size_t max_strangers = 64;
  // Messages waiting for one peer.
  size_t queued_traffic = 4096;
  size_t queued_control = 64;
  // Bytes that one deliver holds, about; the rest goes in the next.
  size_t batch_bytes = 256 << 10;
};

struct MeshSettings {
  InstanceId self;
  DataCentreId data_centre;
  Incarnation incarnation;
  // The shared secret of all instances.
  std::string key;
  // Port 0 takes any free one.
  Address listen;
  MeshLimits limits;
};

struct MeshCallbacks {
  // From a reading thread of the sender's connection, in order. Must not
  // block: the sender's next messages wait behind it.
  std::function<void(const InstanceId& from, Message message)> on_message;
  // Messages for the peer were lost, or another process answers at its
  // address, or it hung up and may have lost what it had taken. From the
  // connection's writing thread; may call Send.
  std::function<void(const InstanceId& peer)> on_peer_failed;
};

// Counters since start.
struct MeshCounts {
  uint64_t messages_sent = 0;
  uint64_t frames_sent = 0;
  uint64_t messages_received = 0;
  uint64_t messages_dropped = 0;
  uint64_t refused_connections = 0;
  // Payload of frames.
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

  // Closes all connections and joins all threads; what is queued is dropped.
  void Stop();

  // The address in use, after Start.
  Address address() const;

  // The members of the newest view. Addresses of members go before those
  // learnt from hello.
  void SetPeers(const std::vector<membership::Peer>& peers);

  // After membership::AdoptIncarnation: for all later hellos.
  void SetIncarnation(Incarnation incarnation);

  // Queues the message for the peer; returns at once. False if the peer's
  // address is not known, the queue is full, or the peer could not be
  // connected to a moment ago: then nothing of it was sent, and the caller is
  // told by this alone. A message that was queued may still be lost, which
  // on_peer_failed tells.
  bool Send(const InstanceId& to, Message message);

  // The same, with the address given; an empty id takes whoever answers there.
  bool Send(const membership::Peer& to, Message message);

  MeshCounts counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hibiscuspick::inner
