// Requests that come before a new instance knows what to serve.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/edge/http_session.h"
#include "hibiscuspick/edge/loop.h"

namespace hibiscuspick::edge {

// After all instances were killed together their callers' requests stand in the
// queue for new connections, and arrive within milliseconds of the start. A
// start takes 30 to 55 ms until configuration and servers are known; a caller
// refused meanwhile has spent its retry. So requests wait for that, for a
// moment and no longer: an instance that doesn't find the store refuses at once
// from then on.
class EarlyRequests {
 public:
  // Where a request goes when its wait is over; its deadline header holds what
  // is left.
  using Serve =
      std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>;

  // `deadline_header`: in milliseconds, the time for which the caller waits.
  EarlyRequests(Loop* loop, std::string deadline_header, Serve serve);

  // The instance takes requests from now on.
  void Begin();
  // True if the request is kept; false if it comes too late for that.
  bool Hold(const std::shared_ptr<HttpSession>& session, HttpRequest* request);
  // Serves all that are kept, and keeps no more.
  void Release();

 private:
  struct Held {
    std::shared_ptr<HttpSession> session;
    HttpRequest request;
    Millis came;
  };

  Loop* const loop_;
  const std::string deadline_header_;
  const Serve serve_;
  bool holding_ = false;
  std::vector<Held> held_;
};

}  // namespace hibiscuspick::edge
