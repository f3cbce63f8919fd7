// Small pieces of the callers' API: statuses, ids from headers, error bodies.
#pragma once

#include <string>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/http/server.h"

namespace hibiscuspick::front {

inline constexpr char kJsonType[] = "application/json";

// A refusal or failure as the caller reads it.
struct Refusal {
  Code code = Code::kOk;
  Ran ran = Ran::kNo;
  std::string message;
  // 0: no Retry-After.
  Millis retry_after;
};

// The HTTP status of a code. 503 promises "not run", so that what may have run
// is 504.
int StatusOf(Code code, Ran ran);

// Writes status, body and Retry-After.
void WriteRefusal(const Refusal& refusal, httplib::Response* response);

// The error body alone.
std::string RefusalBody(const Refusal& refusal);

// The request's id: the caller's, made harmless for logs and headers and cut to
// 128 characters, or a new one.
std::string RequestIdOf(const httplib::Request& request);

// The customer's name, empty without the header. Errors: kMalformedRequest for
// one that is too long or not printable; it is not cut, since two customers
// would then share a limit.
Result<CustomerId> CustomerOf(const httplib::Request& request);

}  // namespace hibiscuspick::front
