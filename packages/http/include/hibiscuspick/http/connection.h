// One client connection on cpp-httplib, with a bound on time and size.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <string>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::http {

struct Reply {
  int status = 0;
  httplib::Headers headers;
  std::string body;
};

// The first value of the header, empty if it is not there.
std::string HeaderOf(const Reply& reply, const std::string& name);

struct ConnectionLimits {
  Millis connect_timeout{1000};
  // Bytes of a reply's body; a longer one is kReplyTooLarge.
  size_t max_body = 4 << 20;
};

// Keeps one TCP connection open between requests. One thread at a time sends;
// Abort may come from any. After any error the object must be thrown away: the
// unread reply of a failed request would otherwise be taken for the next one's.
class Connection {
 public:
  Connection(const Address& address, ConnectionLimits limits);

  // Sends the request and waits at most `timeout` for the whole reply. Never
  // sends twice. Errors: kConnectFailed (nothing was sent), kReadFailed,
  // kDeadlineExceeded, kReplyTooLarge, kCancelled after Abort. A server that
  // sends its head byte by byte may hold this longer than `timeout`; whoever
  // must return in time calls Abort.
  Result<Reply> Send(httplib::Request request, Millis timeout);

  // Ends a running Send at once by closing the connection.
  void Abort();

  // Whether a connection was made and not closed since by either side.
  bool IsOpen() const;

 private:
  httplib::Client client_;
  const ConnectionLimits limits_;
  std::atomic<bool> aborted_{false};
};

// A request with a JSON body and the given method and path.
httplib::Request MakeRequest(const std::string& method, const std::string& path,
                             std::string body = "");

}  // namespace hibiscuspick::http
