// Validates a backend server's reply. Anything but a complete reply to this
// very attempt fails the attempt.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/http/connection.h"
#include "hibiscuspick/limits/shard_work.h"

namespace hibiscuspick::dispatch {

// The values that the reply must echo.
struct ExpectedEcho {
  std::string attempt;
  IndexVersion version;
  BackendServerId server;
  // Whether the attempt is a record, whose answer may be any JSON; a query's
  // answer has hits.
  bool record = false;
};

struct CheckedReply {
  Code code = Code::kOk;
  std::vector<limits::Hit> hits;
  // With kVersionNotHeld: the versions that the server holds.
  std::vector<IndexVersion> held;
  bool draining = false;
  // 0 if the server did not report one.
  Incarnation incarnation;
};

// Checks status, echoed values and body. Codes: kOk, kWrongEcho, kBadReply,
// kShed, kVersionNotHeld, kBackendError, and kRecordFailed for a record's 4xx.
CheckedReply CheckReply(const ExpectedEcho& expected, const http::Reply& reply);

}  // namespace hibiscuspick::dispatch
