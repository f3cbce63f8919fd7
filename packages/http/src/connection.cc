#include "hibiscuspick/http/connection.h"

#include <atomic>
#include <utility>

namespace hibiscuspick::http {
namespace {

// Reads a reply's body within a size and until an instant.
struct BodyReader {
  size_t max_body;
  Millis until;
  std::string body;
  Code stopped = Code::kOk;

  bool Take(const char* data, size_t size) {
    if (body.size() + size > max_body) {
      stopped = Code::kReplyTooLarge;
      return false;
    }
    // Each single read is bounded by the library; an endless body that trickles
    // in would pass every one of those bounds.
    if (SteadyNow() > until) {
      stopped = Code::kDeadlineExceeded;
      return false;
    }
    body.append(data, size);
    return true;
  }
};

Code CodeOf(httplib::Error error, const BodyReader& reader, bool aborted) {
  if (aborted) return Code::kCancelled;
  if (reader.stopped != Code::kOk) return reader.stopped;
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout ||
      error == httplib::Error::BindIPAddress) {
    return Code::kConnectFailed;
  }
  return SteadyNow() >= reader.until ? Code::kDeadlineExceeded
                                     : Code::kReadFailed;
}

}  // namespace

std::string HeaderOf(const Reply& reply, const std::string& name) {
  const auto it = reply.headers.find(name);
  return it == reply.headers.end() ? std::string() : it->second;
}

Connection::Connection(const Address& address, ConnectionLimits limits)
    : client_(address.ip, address.port), limits_(limits) {
  client_.set_keep_alive(true);
  client_.set_tcp_nodelay(true);
  client_.set_follow_location(false);
  client_.set_connection_timeout(limits.connect_timeout.ToMicros());
}

Result<Reply> Connection::Send(httplib::Request request, Millis timeout) {
  BodyReader reader{limits_.max_body, SteadyNow() + timeout, "", Code::kOk};
  client_.set_read_timeout(timeout.ToMicros());
  client_.set_write_timeout(timeout.ToMicros());
  client_.set_connection_timeout(
      Min(limits_.connect_timeout, timeout).ToMicros());
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) { return reader.Take(data, size); };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool sent = client_.send(request, response, error);
  if (aborted_ || !sent) {
    const Code code = CodeOf(error, reader, aborted_);
    return Error{code, "", httplib::to_string(error)};
  }
  return Reply{response.status, std::move(response.headers),
               std::move(reader.body)};
}

void Connection::Abort() {
  aborted_ = true;
  client_.stop();
}

bool Connection::IsOpen() const { return client_.is_socket_open() != 0; }

httplib::Request MakeRequest(const std::string& method, const std::string& path,
                             std::string body) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  // Without this the library offers compression, which costs more time than a
  // data centre's network does.
  request.set_header("Accept-Encoding", "identity");
  if (!body.empty()) request.set_header("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

}  // namespace hibiscuspick::http
