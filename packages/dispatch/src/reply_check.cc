#include "hibiscuspick/dispatch/reply_check.h"

#include <charconv>
#include <optional>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::dispatch {
namespace {

constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;
constexpr int kUnavailableStatus = 503;
// Maximum versions a server may list; a longer list is invalid.
constexpr size_t kMaxHeldVersions = 64;

Incarnation ReadIncarnation(const http::Reply& reply) {
  const std::string text = http::HeaderOf(reply, "X-Server-Incarnation");
  uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  return ec == std::errc() && rest == end ? Incarnation(n) : Incarnation();
}

// Whether the header has this value. Returns `if_absent` without the header.
bool Echoes(const http::Reply& reply, const std::string& name,
            const std::string& value, bool if_absent) {
  const std::string got = http::HeaderOf(reply, name);
  return got.empty() ? if_absent : got == value;
}

// Only a 200 must echo the values; in replies with another status they are
// optional but must match.
bool EchoesMatch(const ExpectedEcho& expected, const http::Reply& reply) {
  const bool if_absent = reply.status != kOkStatus;
  const std::string version = std::to_string(expected.version.value);
  return Echoes(reply, "X-Attempt-Id", expected.attempt, if_absent) &&
         Echoes(reply, "X-Snapshot", version, if_absent) &&
         Echoes(reply, "X-Server-Id", expected.server.text, if_absent);
}

std::optional<limits::Hit> ReadHit(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  const auto id = json.find("id");
  const auto score = json.find("score");
  if (id == json.end() || !id->is_string()) return std::nullopt;
  if (score == json.end() || !score->is_number()) return std::nullopt;
  const auto fields = json.find("fields");
  return limits::Hit{id->get<std::string>(), score->get<double>(),
                     fields == json.end() ? "{}" : DumpJson(*fields)};
}

// The hits in the body; nullopt if it is not a complete answer.
std::optional<std::vector<limits::Hit>> ReadHits(const std::string& body) {
  const auto parsed = ParseJson(body);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) return std::nullopt;
  const Json& json = ValueOf(parsed);
  const auto complete = json.find("complete");
  if (complete == json.end() || *complete != true) return std::nullopt;
  const auto documents = json.find("documents");
  if (documents == json.end() || !documents->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto hits = json.find("hits");
  if (hits == json.end() || !hits->is_array()) return std::nullopt;
  std::vector<limits::Hit> found;
  found.reserve(hits->size());
  for (const Json& it : *hits) {
    auto hit = ReadHit(it);
    if (!hit) return std::nullopt;
    found.push_back(std::move(*hit));
  }
  return found;
}

// The versions of a body like {"held": [6, 7]}; nullopt for any other body.
std::optional<std::vector<IndexVersion>> ReadHeld(const std::string& body) {
  const auto parsed = ParseJson(body);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) return std::nullopt;
  const auto held = ValueOf(parsed).find("held");
  if (held == ValueOf(parsed).end() || !held->is_array()) return std::nullopt;
  if (held->size() > kMaxHeldVersions) return std::nullopt;
  std::vector<IndexVersion> versions;
  for (const Json& it : *held) {
    if (!it.is_number_unsigned()) return std::nullopt;
    versions.emplace_back(it.get<uint64_t>());
  }
  return versions;
}

Code CheckConflict(const ExpectedEcho& expected, const http::Reply& reply,
                   CheckedReply* checked) {
  auto held = ReadHeld(reply.body);
  if (held) {
    checked->held = std::move(*held);
    return Code::kVersionNotHeld;
  }
  return expected.record ? Code::kRecordFailed : Code::kBadReply;
}

Code CheckSuccess(const ExpectedEcho& expected, const http::Reply& reply,
                  CheckedReply* checked) {
  if (expected.record) {
    return IsOk(ParseJson(reply.body)) ? Code::kOk : Code::kBadReply;
  }
  auto hits = ReadHits(reply.body);
  if (!hits) return Code::kBadReply;
  checked->hits = std::move(*hits);
  return Code::kOk;
}

Code CheckStatus(const ExpectedEcho& expected, const http::Reply& reply,
                 CheckedReply* checked) {
  if (reply.status == kOkStatus) return CheckSuccess(expected, reply, checked);
  if (reply.status == kConflictStatus) {
    return CheckConflict(expected, reply, checked);
  }
  if (reply.status == kUnavailableStatus &&
      http::HeaderOf(reply, "X-Not-Run") == "true") {
    return Code::kShed;
  }
  const bool refused = reply.status >= 400 && reply.status < 500;
  return expected.record && refused ? Code::kRecordFailed : Code::kBackendError;
}

}  // namespace

CheckedReply CheckReply(const ExpectedEcho& expected,
                        const http::Reply& reply) {
  CheckedReply checked;
  // A reply to another attempt or from another version or server, for instance
  // after an address was reused, would add foreign hits to the answer.
  if (!EchoesMatch(expected, reply)) {
    checked.code = Code::kWrongEcho;
    return checked;
  }
  checked.draining = http::HeaderOf(reply, "X-Draining") == "true";
  checked.incarnation = ReadIncarnation(reply);
  checked.code = CheckStatus(expected, reply, &checked);
  return checked;
}

}  // namespace hibiscuspick::dispatch
