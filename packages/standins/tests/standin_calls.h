// Calls to stand-ins as the tests make them.
#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/http/connection.h"

namespace hibiscuspick::standins {

// Only so that a test that hangs ends; no verdict rests on it.
inline constexpr Millis kHangGuard{20000};

inline Result<http::Reply> Call(uint16_t port, const std::string& method,
                                const std::string& path,
                                const std::string& body = "",
                                const httplib::Headers& headers = {}) {
  http::Connection connection({"127.0.0.1", port}, {});
  auto request = http::MakeRequest(method, path, body);
  for (const auto& [name, value] : headers) request.set_header(name, value);
  return connection.Send(request, kHangGuard);
}

// The reply's status, 0 if there was none.
inline int StatusOf(const Result<http::Reply>& reply) {
  return IsOk(reply) ? ValueOf(reply).status : 0;
}

// The reply's body as JSON, null if there is none.
inline Json BodyOf(const Result<http::Reply>& reply) {
  if (!IsOk(reply)) return nullptr;
  auto body = ParseJson(ValueOf(reply).body);
  return IsOk(body) ? ValueOf(body) : Json(nullptr);
}

inline Result<http::Reply> Query(uint16_t port, const std::string& attempt,
                                 const std::string& snapshot = "1",
                                 const std::string& deadline_ms = "20000") {
  return Call(port, "POST", "/v1/shards/p2/query",
              R"({"query": {"text": "x"}, "limit": 3})",
              {{"X-Attempt-Id", attempt},
               {"X-Snapshot", snapshot},
               {"X-Lane", "urgent"},
               {"X-Deadline-Ms", deadline_ms}});
}

// Waits until the condition holds; false after the hang guard.
inline bool Eventually(const std::function<bool()>& condition) {
  const Millis until = SteadyNow() + kHangGuard;
  while (!condition()) {
    if (SteadyNow() > until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace hibiscuspick::standins
