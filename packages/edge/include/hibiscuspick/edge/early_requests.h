// Holds requests that arrive before a new instance has its configuration and
// list of servers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/edge/http_session.h"
#include "hibiscuspick/edge/loop.h"

namespace hibiscuspick::edge {

// When all instances restart together, their callers' requests wait in the
// listen queue and arrive within milliseconds of the start, but configuration
// and servers are known only after 30 to 55 ms. A caller refused in that time
// has used up its retry, so requests are held for a short time. If the store is
// not reached by then, requests are refused immediately.
class EarlyRequests {
 public:
  // Called with each held request on release; its deadline header is reduced by
  // the time it was held.
  using Serve =
      std::function<void(const std::shared_ptr<HttpSession>&, HttpRequest)>;

  // `deadline_header` names the header with the caller's deadline in
  // milliseconds.
  EarlyRequests(Loop* loop, std::string deadline_header, Serve serve);

  // Starts holding; called when the instance starts listening.
  void StartHolding();
  // Holds the request, moving from it, and returns true; returns false if
  // holding has ended or too many are held.
  bool Hold(const std::shared_ptr<HttpSession>& session, HttpRequest* request);
  // Serves all held requests and stops holding.
  void Release();

 private:
  struct HeldRequest {
    std::shared_ptr<HttpSession> session;
    HttpRequest request;
    Millis arrived_at;
  };

  Loop* const loop_;
  const std::string deadline_header_;
  const Serve serve_;
  bool holding_ = false;
  std::vector<HeldRequest> held_;
};

}  // namespace hibiscuspick::edge
