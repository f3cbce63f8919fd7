#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/dispatch/reply_check.h"
#include "mutation.h"

namespace hibiscuspick::dispatch {
namespace {

constexpr int kRounds = 8000;
constexpr size_t kMaxHeldVersions = 64;

constexpr std::string_view kTokens[] = {"\"",
                                        "{",
                                        "}",
                                        "[",
                                        "]",
                                        ",",
                                        ":",
                                        "null",
                                        "true",
                                        "false",
                                        "-1",
                                        "1e400",
                                        "-1e400",
                                        "NaN",
                                        "1e-400",
                                        "[[[[[",
                                        "\\ud800",
                                        "\xff",
                                        "\"complete\":true,",
                                        "\"score\":1,",
                                        "\"id\":\"d\",",
                                        "\"held\":[1],",
                                        "\"hits\":[],",
                                        "18446744073709551616"};

constexpr std::string_view kAnswer =
    R"({"hits":[{"id":"d1","score":0.5,"fields":{"name":"Hansen"}},)"
    R"({"id":"d2","score":-3}],"documents":100,"complete":true})";
constexpr std::string_view kNotHeld = R"({"held":[6,7]})";

constexpr int kStatuses[] = {200, 200, 200, 200, 409, 409, 503, 404, 500, 0};

http::Reply GoodReply(int status) {
  http::Reply reply;
  reply.status = status;
  reply.headers = {{"X-Attempt-Id", "a-1-1"}, {"X-Snapshot", "7"},
                   {"X-Server-Id", "b1"},     {"X-Server-Incarnation", "12"},
                   {"X-Draining", "true"},    {"X-Not-Run", "true"}};
  reply.body = status == 409 ? kNotHeld : kAnswer;
  return reply;
}

// Nine in ten replies have a damaged body, one in four a damaged header.
http::Reply DamagedReply(Random* random) {
  http::Reply reply = GoodReply(kStatuses[random->Below(std::size(kStatuses))]);
  if (random->Below(10) > 0) {
    reply.body = testing::Mutate(std::move(reply.body), kTokens, random);
  }
  if (random->Below(4) > 0) return reply;
  auto header = reply.headers.begin();
  std::advance(header, random->Below(reply.headers.size()));
  header->second = testing::Mutate(header->second, kTokens, random);
  return reply;
}

bool EchoesAreRight(const http::Reply& reply) {
  return http::HeaderOf(reply, "X-Attempt-Id") == "a-1-1" &&
         http::HeaderOf(reply, "X-Snapshot") == "7" &&
         http::HeaderOf(reply, "X-Server-Id") == "b1";
}

void CheckAnswer(const CheckedReply& checked, const http::Reply& reply) {
  BOOST_REQUIRE_EQUAL(reply.status, 200);
  BOOST_REQUIRE(EchoesAreRight(reply));
  for (const limits::Hit& it : checked.hits) {
    BOOST_REQUIRE_MESSAGE(std::isfinite(it.score), reply.body);
    BOOST_REQUIRE_MESSAGE(IsOk(ParseJson(it.fields)), reply.body);
  }
}

}  // namespace

// A backend server with a faulty disk, memory or release sends nearly valid
// replies. A hit with a non-finite score would make the order of the answer
// undefined, and a partly accepted reply would count its shard as covered.
BOOST_AUTO_TEST_CASE(damaged_replies_give_valid_hits_or_none) {
  const ExpectedEcho expected{"a-1-1", IndexVersion(7), BackendServerId("b1")};
  Random random(3);
  int accepted = 0;
  int held = 0;
  int bad = 0;
  for (int i = 0; i < kRounds; ++i) {
    const http::Reply reply = DamagedReply(&random);
    const CheckedReply checked = CheckReply(expected, reply);
    if (checked.code == Code::kOk) {
      ++accepted;
      CheckAnswer(checked, reply);
      continue;
    }
    BOOST_REQUIRE_MESSAGE(checked.hits.empty(), reply.body);
    if (checked.code == Code::kBadReply) ++bad;
    if (checked.code != Code::kVersionNotHeld) continue;
    ++held;
    BOOST_REQUIRE_EQUAL(reply.status, 409);
    BOOST_REQUIRE(checked.held.size() <= kMaxHeldVersions);
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(held > 0);
  BOOST_TEST(bad > 0);
}

}  // namespace hibiscuspick::dispatch
