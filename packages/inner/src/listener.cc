#include "listener.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <string>
#include <utility>

#include "framed.h"
#include "session.h"

namespace hibiscuspick::inner {
namespace {

using apache::thrift::TConnectionInfo;
using apache::thrift::TProcessor;
using apache::thrift::TProcessorFactory;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportFactory;

int ToInt(Millis it) { return static_cast<int>(it.count); }

// Creates a session for each connection.
class SessionFactory : public TProcessorFactory {
 public:
  explicit SessionFactory(const Session::Context& context)
      : context_(context) {}

  std::shared_ptr<TProcessor> getProcessor(
      const TConnectionInfo& info) override {
    auto socket = std::dynamic_pointer_cast<TSocket>(info.transport);
    auto session = std::make_shared<Session>(context_, std::move(socket));
    return std::make_shared<wire::InnerProcessor>(std::move(session));
  }

 private:
  const Session::Context context_;
};

class FramedFactory : public TTransportFactory {
 public:
  FramedFactory(size_t max_frame, const ByteCounts& bytes)
      : max_frame_(max_frame), bytes_(bytes) {}

  std::shared_ptr<TTransport> getTransport(
      std::shared_ptr<TTransport> inner) override {
    return MakeFramed(std::move(inner), max_frame_, bytes_);
  }

 private:
  const size_t max_frame_;
  const ByteCounts bytes_;
};

}  // namespace

// Called by Thrift once the socket is listening.
class Listener::ListenHandler
    : public apache::thrift::server::TServerEventHandler {
 public:
  ListenHandler(Listener* listener, std::shared_ptr<TServerSocket> socket)
      : listener_(listener), socket_(std::move(socket)) {}

  void preServe() override { listener_->OnListening(socket_->getPort()); }

 private:
  Listener* const listener_;
  const std::shared_ptr<TServerSocket> socket_;
};

Listener::Listener(const MeshLimits& limits, Identity* identity,
                   Counters* counters, const MeshCallbacks* callbacks,
                   OnHello on_hello)
    : limits_(limits),
      identity_(identity),
      counters_(counters),
      callbacks_(callbacks),
      on_hello_(std::move(on_hello)),
      pending_connections_(limits.max_pending_connections,
                           limits.hello_timeout) {}

Listener::~Listener() { Stop(); }

Result<uint16_t> Listener::Start(const Address& address) {
  const auto socket = std::make_shared<TServerSocket>(address.ip, address.port);
  socket->setRecvTimeout(ToInt(limits_.hello_timeout));
  socket->setSendTimeout(ToInt(limits_.write_timeout));
  const Session::Context context{&limits_,   identity_,  counters_,
                                 callbacks_, &on_hello_, &pending_connections_};
  server_ = std::make_shared<apache::thrift::server::TThreadedServer>(
      std::make_shared<SessionFactory>(context), socket,
      std::make_shared<FramedFactory>(
          limits_.max_frame,
          ByteCounts{&counters_->bytes_sent, &counters_->bytes_received}),
      MakeProtocolFactory(limits_.max_frame));
  server_->setConcurrentClientLimit(
      static_cast<int64_t>(limits_.max_connections));
  server_->setServerEventHandler(std::make_shared<ListenHandler>(this, socket));
  thread_ = std::thread([this] { Serve(); });
  std::unique_lock lock(mutex_);
  started_.wait(lock, [this] { return port_ != 0 || !failure_.empty(); });
  if (port_ != 0) return static_cast<uint16_t>(port_);
  return Error{Code::kConnectFailed, ToText(address), failure_};
}

void Listener::Serve() {
  try {
    server_->serve();
  } catch (const std::exception& ex) {
    OnFailed(ex.what());
  }
}

void Listener::OnListening(int port) {
  const std::lock_guard lock(mutex_);
  port_ = port;
  started_.notify_all();
}

void Listener::OnFailed(const std::string& reason) {
  const std::lock_guard lock(mutex_);
  failure_ = reason.empty() ? "unknown" : reason;
  started_.notify_all();
}

void Listener::Stop() {
  if (!thread_.joinable()) return;
  server_->stop();
  thread_.join();
  server_.reset();
}

}  // namespace hibiscuspick::inner
