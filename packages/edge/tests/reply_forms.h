// Replies that are no answer to the request they arrive for, and what callers
// get in their place.
#pragma once

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {

enum class RouteKind { kNotIdempotent, kIdempotent, kFanOut };

inline std::ostream& operator<<(std::ostream& out, RouteKind kind) {
  return out << (kind == RouteKind::kFanOut       ? "fan-out"
                 : kind == RouteKind::kIdempotent ? "idempotent"
                                                  : "not idempotent");
}

// A whole message with `$` in place of the request's id. Its body and stamp
// contain "other", which must not reach a caller.
struct ReplyForm {
  const char* what;
  std::string text;
  // The connection is closed after it.
  bool closes = false;
};

inline std::ostream& operator<<(std::ostream& out, const ReplyForm& form) {
  return out << form.what;
}

inline std::string TextFor(const ReplyForm& form, const std::string& request) {
  std::string text = form.text;
  const std::string id = HeaderValue(request, "Q-Id");
  for (size_t at = 0; (at = text.find('$', at)) != std::string::npos;) {
    text.replace(at, 1, id);
  }
  return text;
}

// The second shard's servers reply with the form, all others as they should.
inline std::string PlayInFanOut(const ReplyForm& form) {
  TrafficFixture fixture;
  engine::GatherRule rule;
  rule.top = 3;
  rule.min_coverage = 0.5;
  rule.shards = {ServiceId("sound"), ServiceId("spoilt")};
  auto& route = fixture.AddRoute("/g/");
  route.idempotency = engine::Idempotency::kIdempotent;
  route.gather = rule;
  fixture.AddServer("sound", [](const std::string& request) {
    return ScriptedReply{
        .text = ValidReply(request, "stamp",
                           std::string(engine::kRecordBytes, 'a'))};
  });
  for (int i = 0; i < 2; ++i) {
    fixture.AddServer("spoilt", [&](const std::string& request) {
      return ScriptedReply{.text = TextFor(form, request),
                           .closes = form.closes};
    });
  }
  fixture.Publish();
  return fixture.SendRequest("GET /g/x");
}

// Plays the form at all servers of a service, on new connections.
inline void CheckIsNoAnswer(const ReplyForm& form, RouteKind kind) {
  if (kind == RouteKind::kFanOut) {
    const auto answer = PlayInFanOut(form);
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
    BOOST_TEST(HeaderValue(answer, "Q-Stamps") == "stamp");
    BOOST_TEST(HeaderValue(answer, "Q-Missing") == "1");
    BOOST_TEST(answer.ends_with(std::string(engine::kRecordBytes, 'a')));
    return;
  }
  TrafficFixture fixture;
  auto& route = fixture.AddRoute("/p/");
  const bool idempotent = kind == RouteKind::kIdempotent;
  route.idempotency = idempotent ? engine::Idempotency::kIdempotent
                                 : engine::Idempotency::kNotIdempotent;
  route.split = {{ServiceId("s"), 1}};
  for (int i = 0; i < 2; ++i) {
    fixture.AddServer("s", [&](const std::string& request) {
      return ScriptedReply{.text = TextFor(form, request),
                           .closes = form.closes};
    });
  }
  fixture.Publish();
  const auto answer = fixture.SendRequest("POST /p/x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
  BOOST_TEST(answer.find("other") == std::string::npos, answer);
  const size_t sent = fixture.servers()[0]->requests().size() +
                      fixture.servers()[1]->requests().size();
  BOOST_TEST(sent == (idempotent ? 2U : 1U));
}

}  // namespace hibiscuspick::edge
