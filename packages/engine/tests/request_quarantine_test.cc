#include "hibiscuspick/engine/request_quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

const RequestFingerprint kRequest{1, 2};
const RouteId kRoute("route");
const ClientAccountId kNoAccount;

RequestContent Content() { return {kRoute, kNoAccount, "GET", "/p/x", "body"}; }

struct DecisionRow {
  const char* name;
  SendState state;
  SendDecision decision;
};

std::ostream& operator<<(std::ostream& out, const DecisionRow& row) {
  return out << row.name;
}

SendState FanOut(size_t ends, size_t survivors, size_t open) {
  SendState state;
  state.own_ends = ends;
  state.all_ends = ends;
  state.survivors = survivors;
  state.open = open;
  state.open_in_time = open;
  state.is_fan_out = true;
  return state;
}

SendState With(SendState state, const std::function<void(SendState*)>& change) {
  change(&state);
  return state;
}

SendState Plain(size_t ends) {
  return With(FanOut(ends, 0, 0), [](auto* it) { it->is_fan_out = false; });
}

const DecisionRow kDecisions[] = {
    {"no server ended", FanOut(0, 0, 20), SendDecision::kSend},
    {"plain, one ended", Plain(1), SendDecision::kSend},
    {"plain, two ended", Plain(2), SendDecision::kSend},
    {"plain, three ended", Plain(3), SendDecision::kStop},
    {"plain, the third unconfirmed",
     With(Plain(2), [](auto* it) { it->unconfirmed = 1; }),
     SendDecision::kWait},
    {"one ended, others in progress", FanOut(1, 0, 19), SendDecision::kWait},
    {"one ended, others late",
     With(FanOut(1, 0, 19), [](auto* it) { it->open_in_time = 0; }),
     SendDecision::kSend},
    {"one ended, one survived", FanOut(1, 1, 18), SendDecision::kSend},
    {"part of a peer's, none survived",
     With(FanOut(1, 0, 0), [](auto* it) { it->is_partial = true; }),
     SendDecision::kStop},
    {"three ended, others in progress", FanOut(3, 0, 17), SendDecision::kWait},
    {"all ended", FanOut(20, 0, 0), SendDecision::kStop},
    {"three ended, others survived", FanOut(3, 10, 7), SendDecision::kSend},
    {"a canary is in progress",
     With(FanOut(3, 10, 7), [](auto* it) { it->canaries_open = 1; }),
     SendDecision::kWait},
    {"a canary has survived",
     With(FanOut(3, 10, 7),
          [](auto* it) {
            it->canaries_open = 1;
            it->canary_window = kCanaryGrowth;
          }),
     SendDecision::kSend},
    {"a canary ended its server",
     With(FanOut(3, 10, 7), [](auto* it) { it->repeat_ended = true; }),
     SendDecision::kStop},
    {"earlier attempts ended three",
     With(FanOut(0, 0, 0), [](auto* it) { it->all_ends = 3; }),
     SendDecision::kSend},
    {"quarantined", With(FanOut(0, 0, 0), [](auto* it) { it->refused = true; }),
     SendDecision::kStop},
};

// Failure: a request is sent on after three ends, or a harmless one isn't.
BOOST_DATA_TEST_CASE(RequestsAreSentOnlyWhereServersSurvive,
                     bdata::make(kDecisions), row) {
  BOOST_TEST(static_cast<int>(DecideSend(row.state)) ==
             static_cast<int>(row.decision));
}

EndObservation End(uint64_t server, bool alone = true, size_t survivors = 0,
                   bool is_repeat = false) {
  return {{server, ServiceKey(ServiceId("s" + std::to_string(server))), alone},
          survivors,
          is_repeat};
}

Treatment::Kind KindAt(const QuarantineTable& table, Millis now) {
  return TreatmentOf(FindRecord(table, kRequest, now), now).kind;
}

struct EvidenceRow {
  const char* name;
  std::vector<EndObservation> ends;
  std::optional<bool> bystanders_ended;
  bool was_served;
  Treatment::Kind expected;
};

std::ostream& operator<<(std::ostream& out, const EvidenceRow& row) {
  return out << row.name;
}

const EvidenceRow kEvidence[] = {
    {"two servers",
     {End(1), End(2, true, 0, true)},
     {},
     false,
     Treatment::Kind::kServe},
    {"three in a row",
     {End(1), End(2, true, 0, true), End(3, true, 0, true)},
     {},
     false,
     Treatment::Kind::kRefuse},
    {"a repeat, served a moment ago",
     {End(1), End(2, true, 0, true), End(3, false, 0, true)},
     {},
     true,
     Treatment::Kind::kCanary},
    {"a repeat, others survived",
     {End(1, true, 4), End(2, true, 0, true), End(3, false, 0, true)},
     {},
     false,
     Treatment::Kind::kCanary},
    {"three repeats without other requests, served before",
     {End(1, true, 4), End(2, true, 0, true), End(3, true, 0, true),
      End(4, true, 0, true)},
     {},
     true,
     Treatment::Kind::kRefuse},
    {"the same server again",
     {End(1), End(1, true, 0, true), End(1)},
     {},
     false,
     Treatment::Kind::kServe},
    {"three at once",
     {End(1), End(2), End(3)},
     false,
     false,
     Treatment::Kind::kRefuse},
    {"before others are checked",
     {End(1), End(2), End(3)},
     {},
     false,
     Treatment::Kind::kCanary},
    {"others ended too",
     {End(1), End(2), End(3)},
     true,
     false,
     Treatment::Kind::kCanary},
    {"others had requests there",
     {End(1, false), End(2), End(3)},
     false,
     false,
     Treatment::Kind::kCanary},
    {"a server survived",
     {End(1), End(2), End(3, true, 1)},
     false,
     false,
     Treatment::Kind::kCanary},
    {"served a moment ago",
     {End(1), End(2), End(3)},
     false,
     true,
     Treatment::Kind::kCanary},
};

// Failure: a request is quarantined for ends with another explanation.
BOOST_DATA_TEST_CASE(QuarantineNeedsEvidence, bdata::make(kEvidence), row) {
  QuarantineTable table;
  if (row.was_served) table.served.Add(kRequest, Millis(0));
  for (const auto& it : row.ends) RecordEnd(&table, kRequest, it, Millis(10));
  if (row.bystanders_ended) {
    RecordBystanders(&table, kRequest, *row.bystanders_ended, Millis(15));
  }
  BOOST_TEST((KindAt(table, Millis(20)) == row.expected));
}

QuarantineTable Quarantined() {
  QuarantineTable table;
  for (uint64_t i = 1; i <= 3; ++i) {
    RecordEnd(&table, kRequest, End(i, true, 0, i > 1), Millis(0));
  }
  return table;
}

// Failure: a wrong quarantine never ends, or a right one ends all at once.
BOOST_AUTO_TEST_CASE(QuarantineEndsWithACanary) {
  auto table = Quarantined();
  const auto first =
      TreatmentOf(FindRecord(table, kRequest, Millis(0)), Millis(0));
  const Millis over = first.retry_after;
  BOOST_TEST((KindAt(table, over) == Treatment::Kind::kCanary));
  auto repeated = table;
  RecordEnd(&repeated, kRequest, End(4, true, 0, true), over);
  BOOST_TEST((KindAt(repeated, over) == Treatment::Kind::kRefuse));
  const auto second =
      TreatmentOf(FindRecord(repeated, kRequest, over), over).retry_after;
  BOOST_TEST(second.count > first.retry_after.count);
  for (uint64_t i = 1; i <= 3; ++i) {
    RecordSurvivor(&table, kRequest, ServiceId("s" + std::to_string(i)));
  }
  BOOST_TEST((KindAt(table, over) == Treatment::Kind::kServe));
}

// Failure: an instance repeats what others know, or an old report counts anew.
BOOST_AUTO_TEST_CASE(ReportsCarryEvidence) {
  QuarantineTable first;
  RecordEnd(&first, kRequest, End(1), Millis(0));
  RecordEnd(&first, kRequest, End(2, true, 0, true), Millis(0));
  const auto report = ReportOf(kRequest, first.records.at(kRequest), Millis(0));
  QuarantineTable second;
  BOOST_TEST(MergeReport(&second, report, Millis(0)));
  BOOST_TEST(!MergeReport(&second, report, Millis(1)));
  RecordEnd(&second, kRequest, End(3, true, 0, true), Millis(5));
  BOOST_TEST((KindAt(second, Millis(5)) == Treatment::Kind::kRefuse));
  const Millis over = second.records.at(kRequest).refuse_until;
  MergeReport(&second, report, over);
  BOOST_TEST((KindAt(second, over) == Treatment::Kind::kCanary));
  QuarantineReport cleared;
  cleared.request = kRequest;
  cleared.cleared = true;
  BOOST_TEST(MergeReport(&second, cleared, over));
  BOOST_TEST((KindAt(second, over) == Treatment::Kind::kServe));
}

// Failure: requests that each end a server take memory without bound.
BOOST_AUTO_TEST_CASE(RecordsAreBounded) {
  QuarantineTable table;
  for (uint64_t i = 0; i < 3 * kMaxQuarantineRecords; ++i) {
    RecordEnd(&table, {i, i}, End(1), Millis(static_cast<double>(i)));
  }
  BOOST_TEST(table.records.size() == kMaxQuarantineRecords);
}

// Failure: different requests are taken for the same one, or the same for two.
BOOST_AUTO_TEST_CASE(FingerprintCoversTheContent) {
  const RouteId other_route("other");
  const ClientAccountId account("account");
  const auto fingerprint = FingerprintOf(Content());
  BOOST_TEST((fingerprint == FingerprintOf(Content())));
  const std::vector<RequestContent> others = {
      {other_route, kNoAccount, "GET", "/p/x", "body"},
      {kRoute, account, "GET", "/p/x", "body"},
      {kRoute, kNoAccount, "PUT", "/p/x", "body"},
      {kRoute, kNoAccount, "GET", "/p/xb", "ody"},
      {kRoute, kNoAccount, "GET", "/p/x", ""}};
  for (const auto& it : others) {
    BOOST_TEST((FingerprintOf(it) != fingerprint));
  }
  BOOST_TEST((ParseFingerprint(ToText(fingerprint)) == fingerprint));
  BOOST_TEST(!ParseFingerprint("12"));
  BOOST_TEST(!ParseFingerprint(std::string(32, 'g')));
}

}  // namespace
}  // namespace hibiscuspick::engine
