// Replies that are no answer to the request they arrive for, and what callers
// get in their place.
#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

#include "hibiscuspick/edge/reply_check.h"
#include "mutation.h"
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

// Fields of that name in the message's headers, without spaces around them.
inline std::vector<std::string> FieldsNamed(const std::string& text,
                                            const std::string& name) {
  std::vector<std::string> values;
  const std::string headers = text.substr(0, text.find("\r\n\r\n") + 2);
  for (size_t at = 0; (at = headers.find("\r\n", at)) != std::string::npos;) {
    at += 2;
    const std::string line = headers.substr(at, headers.find("\r\n", at) - at);
    const size_t colon = line.find(':');
    if (colon == std::string::npos ||
        !EqualsIgnoreCase(line.substr(0, colon), name)) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
    value.erase(value.find_last_not_of(" \t") + 1);
    values.push_back(value);
  }
  return values;
}

// The data of a chunked body, up to the last chunk.
inline std::string DataOfChunks(const std::string& text) {
  std::string data;
  for (size_t at = 0; at < text.size();) {
    const size_t n = std::strtoul(text.c_str() + at, nullptr, 16);
    at = text.find("\r\n", at);
    if (n == 0 || at == std::string::npos) break;
    data += text.substr(at + 2, n);
    at += n + 4;
  }
  return data;
}

// Whether the text is a whole success of the request "one" with that body, by
// its bytes alone.
inline bool IsWholeSuccess(const std::string& text, const std::string& body) {
  const auto ids = FieldsNamed(text, "Q-Id");
  const auto stamps = FieldsNamed(text, "Q-Stamp");
  const auto lengths = FieldsNamed(text, "Content-Length");
  const auto codings = FieldsNamed(text, "Transfer-Encoding");
  if (ids != std::vector<std::string>{"one"} || stamps.size() != 1 ||
      stamps[0].empty() || lengths.size() + codings.size() > 1 ||
      !FieldsNamed(text, "Content-Encoding").empty()) {
    return false;
  }
  const size_t end = text.find("\r\n\r\n");
  const std::string headers = text.substr(0, end);
  if (headers.find("\r\n ") != std::string::npos ||
      headers.find("\r\n\t") != std::string::npos) {
    return false;
  }
  const std::string rest = text.substr(end + 4);
  if (!lengths.empty()) {
    return lengths[0] == std::to_string(body.size()) && rest.starts_with(body);
  }
  if (codings.empty()) return rest == body;
  return EqualsIgnoreCase(codings[0], "chunked") && DataOfChunks(rest) == body;
}

inline constexpr std::string_view kFormTokens[] = {
    "\r\n",
    "\r\n ",
    "Q-Id: two\r\n",
    "Q-Id: one\r\n",
    "Q-Stamp: other\r\n",
    "Content-Encoding: gzip\r\n",
    "Content-Encoding:\r\n",
    "Transfer-Encoding: gzip\r\n",
    "gzip, ",
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 5\r\n",
    ",",
    "\t",
    ":",
    "200",
    "0\r\n\r\n",
};

// Damages the form and requires that what is judged to be a success is a whole
// one.
inline void FuzzForm(const ReplyForm& form, uint64_t seed) {
  constexpr int kRounds = 400;
  const WireNames names = TestWireNames();
  Random random(seed);
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = testing::Mutate(TextFor(form, "\r\nQ-Id: one\r\n"),
                                             kFormTokens, &random);
    ReplyReader reader(false, {4096, 4096});
    std::string buf;
    ReadState state = ReadState::kMore;
    for (size_t n = 0; n < text.size() && state == ReadState::kMore;) {
      const size_t piece = 1 + random.Below(text.size() - n);
      buf += text.substr(n, piece);
      n += piece;
      state = reader.Read(&buf);
    }
    if (state == ReadState::kMore) state = reader.ReadEnd();
    if (state != ReadState::kDone) continue;
    const HttpReply reply = reader.Take();
    const auto verdict = JudgeReply(reply, {&names, "one"}, true);
    if (verdict.use != ReplyUse::kAnswer || !IsSuccess(reply.status)) continue;
    // These have no body, whatever their headers say.
    if (reply.status == 204) continue;
    BOOST_TEST_REQUIRE(IsWholeSuccess(text, reply.body), text);
  }
}

}  // namespace hibiscuspick::edge
