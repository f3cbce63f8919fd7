#include "hibiscuspick/engine/allowance_pool.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hibiscuspick::engine {
namespace {

const AllowanceBounds kBounds{Millis(5000), 0.1, 20};
const InstanceId kOwn("a0");
const ClientAccountId kAccount("acme");

AllowancePools MakePools(const AccountAllowance& allowance, size_t instances) {
  auto accounts = std::make_shared<ClientAccounts>();
  ClientAccount account;
  account.id = kAccount;
  account.allowance = allowance;
  accounts->accounts.push_back(account);
  AllowancePoolContext context;
  context.own = kOwn;
  context.data_centre = DataCentreId("a");
  context.process = 7;
  context.bounds = kBounds;
  context.instances = instances;
  context.accounts = accounts;
  AllowancePools pools;
  SetPoolContext(&pools, context, Millis(0));
  return pools;
}

struct Loan {
  std::string from = "a1";
  uint64_t sequence = 1;
  Millis echo{0};
  uint64_t echo_process = 7;
  uint32_t instances = 4;
  std::vector<std::vector<InstanceId>> lists = {{kOwn}};
};

AllowanceRequest MakeRequest(const Loan& loan) {
  AllowanceRequest request;
  request.from = InstanceId(loan.from);
  request.data_centre = DataCentreId("a");
  request.process = 1;
  request.sequence = loan.sequence;
  request.loan = {{loan.echo_process, loan.echo}, loan.instances, loan.lists};
  return request;
}

TokenGrant Ask(AllowancePools* pools, const TokenRequest& request, Millis now) {
  AllowanceRequest message;
  message.from = InstanceId("a9");
  message.data_centre = DataCentreId("a");
  message.accounts = {request};
  const auto reply = HandleAllowanceRequest(pools, message, now);
  return reply.accounts.empty() ? TokenGrant() : reply.accounts[0];
}

// Values of the configuration must neither divide by zero nor lend more than
// the whole; the pools together stay below the bound.
BOOST_AUTO_TEST_CASE(SharesStayBelowTheBound) {
  for (const AccountAllowance& allowance : std::vector<AccountAllowance>{
           {1, 1}, {0.01, 0}, {100, 100}, {1, 500}, {1e6, 0}, {0.5, 0.5}}) {
    const auto limits = MakeAllowanceLimits(allowance, kBounds);
    const double allowed = allowance.rate_per_second * 5 + allowance.burst;
    const double bound = allowed * 1.1 + 20;
    for (const double pools : {1, 2, 3, 7, 460}) {
      const auto share = MakePoolShare(limits, 1 / pools);
      // A restart of all pools within the window.
      const double start = kStartTolerance * limits.tolerance;
      const double sum =
          pools * (share.refill_per_second * 5 + share.capacity) + start;
      BOOST_TEST(sum <= bound);
      BOOST_TEST(share.capacity > 0);
    }
  }
  BOOST_TEST(MakeAllowanceLimits({0, 5}, kBounds).rate_per_second == 0);
  BOOST_TEST(MakeAllowanceLimits({5, 5}, {}).rate_per_second == 0);
}

// A loan that is renewed by a delayed, older or foreign message would be
// counted here after the lender has lent its share to another instance.
BOOST_AUTO_TEST_CASE(OnlyCurrentMessagesLend) {
  const InstanceId other("a2");
  struct Row {
    const char* name;
    Loan loan;
    Millis now;
    double lent;
  };
  const Millis later{2000};
  const std::vector<Row> rows = {
      {"current", {.echo = Millis(1900)}, later, 0.25},
      {"echo too old", {.echo = Millis(700)}, later, 0},
      {"echo of another process",
       {.echo = Millis(1900), .echo_process = 6},
       later,
       0},
      {"echo from the future", {.echo = Millis(2100)}, later, 0},
      {"no echo", {.echo = Millis(0), .echo_process = 0}, later, 0},
      {"no list", {.echo = Millis(1900), .lists = {}}, later, 0},
      {"incomplete list of instances",
       {.echo = Millis(1900), .instances = 0},
       later,
       0},
      {"another is chosen",
       {.echo = Millis(1900), .lists = {{other}}},
       later,
       0},
      {"the lists disagree",
       {.echo = Millis(1900), .lists = {{other}, {kOwn}}},
       later,
       0},
      {"the lender knows more instances",
       {.echo = Millis(1900), .instances = 10},
       later,
       0.1},
      {"the lender knows fewer instances",
       {.echo = Millis(1900), .instances = 2},
       later,
       0.25},
  };
  for (const auto& row : rows) {
    auto pools = MakePools({10, 10}, 4);
    HandleAllowanceRequest(&pools, MakeRequest(row.loan), row.now);
    const auto statuses = PoolStatuses(pools);
    const double lent = statuses.empty() ? 0 : statuses[0].lent;
    BOOST_TEST(lent == row.lent, row.name << ": " << lent);
  }
}

// A message that was overtaken would bring back a list that the lender has
// replaced; a loan that ended would refill the pool for ever.
BOOST_AUTO_TEST_CASE(LoansFollowTheLastMessageAndEnd) {
  auto pools = MakePools({10, 10}, 4);
  const auto lent = [&] { return PoolStatuses(pools)[0].lent; };
  HandleAllowanceRequest(&pools, MakeRequest({.sequence = 1}), Millis(10));
  HandleAllowanceRequest(&pools, MakeRequest({.from = "a2"}), Millis(10));
  BOOST_TEST(lent() == 0.5);
  HandleAllowanceRequest(
      &pools, MakeRequest({.sequence = 5, .lists = {{InstanceId("a2")}}}),
      Millis(20));
  HandleAllowanceRequest(&pools, MakeRequest({.sequence = 4}), Millis(30));
  BOOST_TEST(lent() == 0.25);
  Ask(&pools, {.account = kAccount}, Millis(1251));
  BOOST_TEST(lent() == 0);
  BOOST_TEST(PoolStatuses(pools)[0].tokens == 0);
}

// A counting instance that begins with a full burst would grant it again after
// each restart. It has to fill up for accounts without requests too.
BOOST_AUTO_TEST_CASE(PoolsStartWithoutBurst) {
  auto pools = MakePools({100, 100}, 1);
  HandleAllowanceRequest(&pools, MakeRequest({.instances = 1}), Millis(0));
  // The tolerance is 0.1 x 600 + 20 = 80.
  BOOST_TEST(PoolStatuses(pools)[0].tokens == 8);
  const auto grant =
      Ask(&pools, {.account = kAccount, .wanted = 500}, Millis(1000));
  BOOST_TEST(grant.tokens == 108);
}

// Tokens that are given back twice over, or beyond the capacity, would exceed
// the bound; lost ones would starve the account.
BOOST_AUTO_TEST_CASE(ReturnedTokensAreGrantedAgain) {
  auto pools = MakePools({10, 10}, 1);
  HandleAllowanceRequest(&pools, MakeRequest({.instances = 1}), Millis(0));
  const double first =
      Ask(&pools, {.account = kAccount, .wanted = 100}, Millis(1200)).tokens;
  BOOST_TEST(first > 10);
  BOOST_TEST(Ask(&pools, {.account = kAccount, .wanted = 2, .returned = 2},
                 Millis(1200))
                 .tokens == 2);
  Ask(&pools, {.account = kAccount, .returned = 1000}, Millis(1200));
  const auto status = PoolStatuses(pools)[0];
  BOOST_TEST(status.tokens <= status.capacity);
}

// Refused callers that are all told the same time return in a burst; new
// requests that take the tokens make a true Retry-After false.
BOOST_AUTO_TEST_CASE(PlacesAreKeptForCallersThatReturn) {
  auto pools = MakePools({10, 10}, 1);
  HandleAllowanceRequest(&pools, MakeRequest({.instances = 1}), Millis(0));
  Ask(&pools, {.account = kAccount, .wanted = 100}, Millis(1000));
  auto statuses = PoolStatuses(pools);
  // 100 requests were refused; only those due within the horizon have places.
  BOOST_TEST(statuses[0].places >= 19);
  BOOST_TEST(statuses[0].places <= 21);

  auto fresh = MakePools({10, 10}, 1);
  HandleAllowanceRequest(&fresh, MakeRequest({.instances = 1}), Millis(0));
  const auto all =
      Ask(&fresh, {.account = kAccount, .wanted = 15}, Millis(1100));
  const double refused = 15 - all.tokens;
  BOOST_TEST_REQUIRE(refused >= 1);
  BOOST_TEST((all.retry_after > Millis(0)));
  BOOST_TEST(all.retry_spacing.count == 100);
  BOOST_TEST((all.refuse_for > Millis(0)));
  const Millis due = Millis(1100) + all.retry_after;
  const auto newcomer = Ask(&fresh, {.account = kAccount, .wanted = 1}, due);
  BOOST_TEST(newcomer.tokens == 0);
  BOOST_TEST((newcomer.retry_after > Millis(0)));
  const auto retry =
      Ask(&fresh, {.account = kAccount, .wanted = 1, .for_retries = 1}, due);
  BOOST_TEST(retry.tokens == 1);
}

// An account that this instance does not know, or no share of which was lent to
// it, is not above its allowance.
BOOST_AUTO_TEST_CASE(NoAnswerWithoutKnowledge) {
  auto pools = MakePools({10, 10}, 4);
  AllowanceRequest message;
  TokenRequest unknown;
  unknown.account = ClientAccountId("unknown");
  unknown.wanted = 1;
  TokenRequest not_lent;
  not_lent.account = kAccount;
  not_lent.wanted = 1;
  message.accounts = {unknown, not_lent};
  BOOST_TEST(
      HandleAllowanceRequest(&pools, message, Millis(0)).accounts.empty());
}

// Tokens that a lost reply carries must not be granted again, and a pool keeps
// what its own data centre is about to use.
BOOST_AUTO_TEST_CASE(GivenTokensAreDeducted) {
  auto pools = MakePools({10, 10}, 1);
  HandleAllowanceRequest(&pools, MakeRequest({.instances = 1}), Millis(0));
  AllowanceRequest exchange;
  exchange.kind = AllowanceMessageKind::kExchange;
  exchange.data_centre = DataCentreId("b");
  TokenRequest wanted;
  wanted.account = kAccount;
  wanted.wanted = 4.5;
  exchange.accounts = {wanted};
  const Millis now{1200};
  Ask(&pools, {.account = kAccount}, now);
  const double before = PoolStatuses(pools)[0].tokens;
  const auto reply = HandleAllowanceRequest(&pools, exchange, now);
  BOOST_TEST(reply.accounts[0].tokens == 4.5);
  BOOST_TEST(PoolStatuses(pools)[0].tokens == before - 4.5);
  Ask(&pools, {.account = kAccount, .arrivals = 30}, now);
  exchange.accounts[0].wanted = 100;
  HandleAllowanceRequest(&pools, exchange, now);
  BOOST_TEST(PoolStatuses(pools)[0].tokens >= 0.9);
}

// Failure: a loan that came before the instance knew its own name was never
// counted.
BOOST_AUTO_TEST_CASE(LoansFromBeforeTheOwnNameCount) {
  auto pools = MakePools({10, 10}, 4);
  auto context = pools.context;
  context.own = InstanceId();
  SetPoolContext(&pools, context, Millis(0));
  HandleAllowanceRequest(&pools, MakeRequest({}), Millis(1));
  BOOST_TEST(PoolStatuses(pools).empty());
  context.own = kOwn;
  SetPoolContext(&pools, context, Millis(2));
  BOOST_TEST_REQUIRE(PoolStatuses(pools).size() == 1);
  BOOST_TEST(PoolStatuses(pools)[0].lent == 0.25);
}

}  // namespace
}  // namespace hibiscuspick::engine
