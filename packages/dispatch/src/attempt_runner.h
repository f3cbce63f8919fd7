// One exchange with a backend server, on a worker's thread.
#pragma once

#include <memory>
#include <string>

#include "executor_group.h"
#include "hibiscuspick/http/connection.h"
#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::dispatch {

struct AttemptResult {
  limits::AttemptReport report;
  ReplyContent content;
  // Whether a whole reply was read and the connection kept open.
  bool reusable = false;
};

// The attempt's id as the backend server sees it. Unique for ever, since the
// incarnation is new with each start of the instance.
std::string AttemptWireId(const InstanceId& instance, Incarnation incarnation,
                          AttemptId attempt);

// Sends the attempt's request and checks the reply. Blocks until the deadline
// at most, unless the server trickles; Abort on the connection ends that.
AttemptResult SendAttempt(const AttemptOrder& order, const std::string& wire_id,
                          const std::shared_ptr<http::Connection>& connection);

struct CancelReply {
  // The server said that the attempt does not run.
  bool confirmed = false;
  bool reusable = false;
};

CancelReply SendCancelRequest(
    const std::string& wire_id,
    const std::shared_ptr<http::Connection>& connection, Millis timeout);

// Opens the connection by a request that costs the server nothing. What it
// answers is a hint that lags, and is not read.
bool WarmUp(const std::shared_ptr<http::Connection>& connection,
            Millis timeout);

void LogAttempt(const AttemptOrder& order, const AttemptResult& result);

}  // namespace hibiscuspick::dispatch
