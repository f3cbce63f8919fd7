// One incoming connection.
#pragma once

#include <thrift/transport/TSocket.h>

#include <memory>
#include <vector>

#include "Inner.h"
#include "identity.h"
#include "listener.h"
#include "pending_connections.h"

namespace hibiscuspick::inner {

// Accepts only hello until one with the right key and a supported version has
// arrived. A connection that calls deliver before that is closed.
class Session : public wire::InnerIf {
 public:
  struct Context {
    const MeshLimits* limits;
    Identity* identity;
    Counters* counters;
    const MeshCallbacks* callbacks;
    const Listener::OnHello* on_hello;
    PendingConnections* pending_connections;
  };

  Session(const Context& context,
          std::shared_ptr<apache::thrift::transport::TSocket> socket);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void hello(wire::HelloReply& reply, const wire::Hello& hello) override;
  void deliver(const std::vector<wire::Message>& messages) override;

 private:
  Code CheckHello(const wire::Hello& hello) const;
  void Accept(const wire::Hello& hello);
  void Reject(const wire::Hello& hello, Code code);

  const Context context_;
  const std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  uint64_t pending_number_ = 0;
  bool accepted_ = false;
  InstanceId peer_;
};

}  // namespace hibiscuspick::inner
