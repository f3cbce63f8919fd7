// The listening side of the mesh, one thread for each connection, based on
// Thrift's threaded server.
#pragma once

#include <thrift/server/TThreadedServer.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "hibiscuspick/base/result.h"
#include "hibiscuspick/inner/peer_mesh.h"
#include "identity.h"
#include "pending_connections.h"

namespace hibiscuspick::inner {

class Listener {
 public:
  // Called with each accepted peer and its own listening address.
  using OnHello =
      std::function<void(const InstanceId&, Incarnation, const Address&)>;

  Listener(const MeshLimits& limits, Identity* identity, Counters* counters,
           const MeshCallbacks* callbacks, OnHello on_hello);
  ~Listener();

  // Starts to listen and returns the port in use.
  Result<uint16_t> Start(const Address& address);
  void Stop();

 private:
  class ListenHandler;

  void Serve();
  void OnListening(int port);
  void OnFailed(const std::string& reason);

  const MeshLimits limits_;
  Identity* const identity_;
  Counters* const counters_;
  const MeshCallbacks* const callbacks_;
  const OnHello on_hello_;
  PendingConnections pending_connections_;
  std::shared_ptr<apache::thrift::server::TThreadedServer> server_;
  std::thread thread_;

  std::mutex mutex_;
  std::condition_variable started_;
  int port_ = 0;
  std::string failure_;
};

}  // namespace hibiscuspick::inner
