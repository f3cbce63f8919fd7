// Decides what a backend server's reply is worth. Anything that is not exactly
// the whole reply to this attempt is a failed attempt.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/http/connection.h"
#include "hibiscuspick/limits/shard_work.h"

namespace hibiscuspick::dispatch {

// What the reply must echo.
struct ExpectedEcho {
  std::string attempt;
  IndexVersion version;
  BackendServerId server;
  // A record's answer is any JSON, a query's has hits.
  bool record = false;
};

struct CheckedReply {
  Code code = Code::kOk;
  std::vector<limits::Hit> hits;
  // With kVersionNotHeld.
  std::vector<IndexVersion> held;
  bool draining = false;
  // 0 if the server does not say.
  Incarnation incarnation;
};

// Checks status, echoes and body. Codes: kOk, kWrongEcho, kBadReply, kShed,
// kVersionNotHeld, kBackendError, and kRecordFailed for a record's 4xx.
CheckedReply CheckReply(const ExpectedEcho& expected, const http::Reply& reply);

}  // namespace hibiscuspick::dispatch
