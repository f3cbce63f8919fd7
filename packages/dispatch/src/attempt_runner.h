// HTTP requests to a backend server, made on a worker thread.
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
  // Whether a complete reply was read and the connection is still open.
  bool reusable = false;
};

// The id of the attempt in requests to the backend server. Never reused, since
// each start of the instance has a new incarnation.
std::string AttemptWireId(const InstanceId& instance, Incarnation incarnation,
                          AttemptId attempt);

// Sends the attempt's request and validates the reply. Blocks until the
// deadline at most, unless the server sends its reply in small pieces; Abort on
// the connection ends that.
AttemptResult SendAttempt(const AttemptSpec& spec, const std::string& wire_id,
                          const std::shared_ptr<http::Connection>& connection);

struct CancelReply {
  // Whether the server confirmed that the attempt is not running.
  bool confirmed = false;
  bool reusable = false;
};

CancelReply SendCancelRequest(
    const std::string& wire_id,
    const std::shared_ptr<http::Connection>& connection, Millis timeout);

// Opens the connection with a health request, which is cheap for the server.
// The reply is ignored.
bool OpenConnection(const std::shared_ptr<http::Connection>& connection,
                    Millis timeout);

void LogAttempt(const AttemptSpec& spec, const AttemptResult& result);

}  // namespace hibiscuspick::dispatch
