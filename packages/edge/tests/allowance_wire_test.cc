#include "hibiscuspick/edge/allowance_wire.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "hibiscuspick/base/random.h"

namespace hibiscuspick::edge {
namespace {

engine::AllowanceRequest SampleRequest() {
  engine::AllowanceRequest request;
  request.kind = engine::AllowanceMessageKind::kExchange;
  request.from = InstanceId("edge-1");
  request.data_centre = DataCentreId("a");
  request.process = 9;
  request.sequence = 3;
  request.config_version = 7;
  request.loan.echo = {~uint64_t{0}, Millis(1234.0625)};
  request.loan.instances = 64;
  request.loan.candidate_lists = {{InstanceId("edge-1"), InstanceId("edge-2")},
                                  {}};
  request.accounts = {{ClientAccountId("one \"quoted\""), 2, 1, 4, 0.5, 6},
                      {ClientAccountId("two"), 0, 0, 0, 3, 0}};
  return request;
}

engine::AllowanceReply SampleReply() {
  return {{5, Millis(0.1)},
          {{ClientAccountId("one"), 2, Millis(1), Millis(12.5), Millis(0.25),
            Millis(50), Millis(2)}}};
}

BOOST_AUTO_TEST_CASE(RequestIsUnchangedByTheCodec) {
  const auto request =
      DecodeAllowanceRequest(EncodeAllowanceRequest(SampleRequest()));
  BOOST_TEST_REQUIRE(request.has_value());
  BOOST_TEST((request->kind == engine::AllowanceMessageKind::kExchange));
  BOOST_TEST(request->from.text == "edge-1");
  BOOST_TEST(request->data_centre.text == "a");
  BOOST_TEST(request->process == 9);
  BOOST_TEST(request->sequence == 3);
  BOOST_TEST(request->config_version == 7);
  BOOST_TEST((request->loan.echo == SampleRequest().loan.echo));
  BOOST_TEST(request->loan.instances == 64);
  BOOST_TEST(
      (request->loan.candidate_lists == SampleRequest().loan.candidate_lists));
  BOOST_TEST_REQUIRE(request->accounts.size() == 2);
  BOOST_TEST(request->accounts[0].account.text == "one \"quoted\"");
  BOOST_TEST(request->accounts[0].wanted == 2);
  BOOST_TEST(request->accounts[0].for_retries == 1);
  BOOST_TEST(request->accounts[0].ahead == 4);
  BOOST_TEST(request->accounts[0].returned == 0.5);
  BOOST_TEST(request->accounts[0].arrivals == 6);
  BOOST_TEST(request->accounts[1].returned == 3);
}

BOOST_AUTO_TEST_CASE(ReplyIsUnchangedByTheCodec) {
  const auto reply = DecodeAllowanceReply(EncodeAllowanceReply(SampleReply()));
  BOOST_TEST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->clock == SampleReply().clock));
  BOOST_TEST_REQUIRE(reply->accounts.size() == 1);
  BOOST_TEST(reply->accounts[0].account.text == "one");
  BOOST_TEST(reply->accounts[0].tokens == 2);
  BOOST_TEST(reply->accounts[0].ask_again.count == 1);
  BOOST_TEST(reply->accounts[0].retry_after.count == 12.5);
  BOOST_TEST(reply->accounts[0].retry_spacing.count == 0.25);
  BOOST_TEST(reply->accounts[0].refuse_for.count == 50);
  BOOST_TEST(reply->accounts[0].refused_spacing.count == 2);
}

// A negative number of returned tokens would take tokens from the pool, and a
// number that isn't finite would break its level for good.
BOOST_AUTO_TEST_CASE(BadNumbersAreRejected) {
  const std::string text = EncodeAllowanceRequest(SampleRequest());
  const size_t at = text.find("0.5");
  BOOST_TEST_REQUIRE(at != std::string::npos);
  for (const char* bad : {"-1", "1e400", "1e300", "null", "\"1\"", "[]"}) {
    std::string changed = text;
    changed.replace(at, 3, bad);
    BOOST_TEST(!DecodeAllowanceRequest(changed).has_value(), bad);
  }
}

// A message of a broken peer must neither crash the instance nor be taken for
// another one.
BOOST_AUTO_TEST_CASE(DamagedTextsAreRejectedOrValid) {
  Random random(11);
  constexpr int kRounds = 20000;
  const std::string texts[] = {EncodeAllowanceRequest(SampleRequest()),
                               EncodeAllowanceReply(SampleReply())};
  for (int i = 0; i < kRounds; ++i) {
    std::string text = texts[i % 2];
    for (size_t n = 1 + random.Below(3); n > 0; --n) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    if (random.Below(4) == 0) text.resize(random.Below(text.size()));
    const auto request = DecodeAllowanceRequest(text);
    const auto reply = DecodeAllowanceReply(text);
    for (const auto& it :
         request ? request->accounts : std::vector<engine::TokenRequest>()) {
      BOOST_TEST_REQUIRE((it.wanted >= 0 && it.returned >= 0));
    }
    for (const auto& it :
         reply ? reply->accounts : std::vector<engine::TokenGrant>()) {
      BOOST_TEST_REQUIRE((it.tokens >= 0 && it.retry_after.count >= 0));
    }
  }
  std::string noise;
  for (int i = 0; i < kRounds; ++i) {
    noise.resize(random.Below(64));
    for (char& it : noise) it = static_cast<char>(random.Below(256));
    BOOST_TEST_REQUIRE(!DecodeAllowanceRequest(noise).has_value());
    BOOST_TEST_REQUIRE(!DecodeAllowanceReply(noise).has_value());
  }
}

}  // namespace
}  // namespace hibiscuspick::edge
