#include <algorithm>
#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "hibiscuspick/cli/load_answer.h"
#include "hibiscuspick/cli/load_plan.h"
#include "hibiscuspick/cli/load_report.h"
#include "hibiscuspick/cli/load_run.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/standins/shard_answer.h"

namespace {

using hibiscuspick::Code;
using hibiscuspick::DumpJson;
using hibiscuspick::Error;
using hibiscuspick::IsOk;
using hibiscuspick::Json;
using hibiscuspick::Millis;
using hibiscuspick::Result;
using hibiscuspick::cli::AnswerKind;
using hibiscuspick::cli::Arrival;
using hibiscuspick::cli::LoadAnswer;
using hibiscuspick::cli::LoadPlan;
using hibiscuspick::cli::MakeReport;
using hibiscuspick::cli::PlanArrivals;
using hibiscuspick::cli::Quantile;
using hibiscuspick::cli::QueryMark;
using hibiscuspick::cli::ReadAnswer;
using hibiscuspick::cli::ReportJson;
using hibiscuspick::cli::ReportTable;
using hibiscuspick::cli::RunLoad;
using hibiscuspick::cli::Spacing;
using hibiscuspick::http::Reply;
using hibiscuspick::http::Server;

constexpr char kMark[] = "00ff";

// An answer of two shards, one of them missing, with one hit.
Json TestBody(const std::string& mark, int version) {
  return {{"snapshot", {{"id", "a"}, {"version", 7}}},
          {"coverage",
           {{"shards_total", 2},
            {"shards_answered", 1},
            {"documents_total", 200},
            {"documents_covered", 50},
            {"missing", {{{"shard", "p2"}, {"code", 2104}}}}}},
          {"hits",
           {{{"id", "d"},
             {"shard", "p1"},
             {"fields", {{"query", mark}, {"version", version}}}}}},
          {"attempts", 3}};
}

Json MissingShardHit() {
  Json body = TestBody(kMark, 7);
  body["hits"][0]["shard"] = "p2";
  return body;
}

Json WrongCount() {
  Json body = TestBody(kMark, 7);
  body["coverage"]["shards_answered"] = 2;
  return body;
}

struct ReadRow {
  const char* what;
  int status;
  std::string body;
  AnswerKind kind;
  Code code;
  bool wrong;
};

std::ostream& operator<<(std::ostream& out, const ReadRow& row) {
  return out << row.what;
}

const std::vector<ReadRow> kReadRows = {
    {"whole", 200, DumpJson(TestBody(kMark, 7)), AnswerKind::kWhole, Code::kOk,
     false},
    {"partial", 206, DumpJson(TestBody(kMark, 7)), AnswerKind::kPartial,
     Code::kOk, false},
    {"another query's hit", 200, DumpJson(TestBody("beef", 7)),
     AnswerKind::kWhole, Code::kOk, true},
    {"another version's hit", 200, DumpJson(TestBody(kMark, 6)),
     AnswerKind::kWhole, Code::kOk, true},
    {"a hit of a missing shard", 200, DumpJson(MissingShardHit()),
     AnswerKind::kWhole, Code::kOk, true},
    {"counts that contradict", 200, DumpJson(WrongCount()), AnswerKind::kWhole,
     Code::kOk, true},
    {"refused", 503, R"({"error":{"code":1203,"ran":"no"}})",
     AnswerKind::kRefused, Code::kQueueFull, false},
    {"not JSON", 200, "{", AnswerKind::kFailed, Code::kBadReply, false},
    {"not an object", 200, "[]", AnswerKind::kFailed, Code::kBadReply, false},
};

struct QuantileRow {
  double share;
  double value;
};

std::ostream& operator<<(std::ostream& out, const QuantileRow& row) {
  return out << row.share;
}

const std::vector<QuantileRow> kQuantileRows = {
    {0, 1}, {0.5, 5}, {0.9, 9}, {0.91, 10}, {0.99, 10}, {1, 10}};

const std::vector<Spacing> kSpacings = {Spacing::kEven, Spacing::kPoisson};

std::ostream& operator<<(std::ostream& out, Spacing spacing) {
  return out << (spacing == Spacing::kEven ? "even" : "Poisson");
}

LoadPlan TestPlan(Spacing spacing) {
  LoadPlan plan;
  plan.mix = {{"fraud", 50}, {"portal", 200}};
  plan.spacing = spacing;
  plan.duration = Millis(20000);
  return plan;
}

LoadAnswer Answered(uint32_t route, double latency, double coverage) {
  LoadAnswer answer;
  answer.route = route;
  answer.kind = coverage < 1 ? AnswerKind::kPartial : AnswerKind::kWhole;
  answer.latency = Millis(latency);
  answer.coverage = coverage;
  answer.shards = 20;
  answer.attempts = 21;
  return answer;
}

}  // namespace

namespace hibiscuspick::cli {
using ::operator<<;
}  // namespace hibiscuspick::cli

BOOST_DATA_TEST_CASE(arrivals_keep_the_rates_asked_for, kSpacings) {
  const LoadPlan plan = TestPlan(sample);
  const auto arrivals = PlanArrivals(plan);
  size_t of_portal = 0;
  Millis last;
  for (const Arrival& it : arrivals) {
    BOOST_TEST(it.at.count >= last.count);
    last = it.at;
    of_portal += it.route;
  }
  const size_t of_fraud = arrivals.size() - of_portal;
  // The instants are the same on each run; the margin is for Poisson's chance.
  BOOST_TEST(std::abs(static_cast<double>(of_portal) - 4000) < 200);
  BOOST_TEST(std::abs(static_cast<double>(of_fraud) - 1000) < 100);
  BOOST_TEST(last.count < plan.duration.count);
  BOOST_TEST(PlanArrivals(plan).size() == arrivals.size());
}

BOOST_DATA_TEST_CASE(quantiles_are_of_the_nearest_rank, kQuantileRows) {
  std::vector<Millis> values;
  for (int i = 10; i >= 1; --i) values.emplace_back(i);
  BOOST_TEST(Quantile(values, sample.share).count == sample.value);
}

BOOST_DATA_TEST_CASE(replies_are_read_and_checked, kReadRows) {
  const Result<Reply> reply = Reply{sample.status, {}, sample.body};
  const LoadAnswer answer = ReadAnswer(reply, kMark);
  BOOST_TEST((answer.kind == sample.kind));
  BOOST_TEST((answer.code == sample.code));
  BOOST_TEST(answer.wrong == sample.wrong);
  if (answer.kind == AnswerKind::kWhole) {
    BOOST_TEST(answer.coverage == 0.25);
    BOOST_TEST(answer.attempts == 3U);
  }
  BOOST_TEST(!ReadAnswer(reply, "").wrong);
}

BOOST_AUTO_TEST_CASE(a_broken_connection_is_a_failed_answer) {
  const Result<Reply> reply = Error{Code::kConnectFailed, "", ""};
  const LoadAnswer answer = ReadAnswer(reply, kMark);
  BOOST_TEST((answer.kind == AnswerKind::kFailed));
  BOOST_TEST((answer.code == Code::kConnectFailed));
}

BOOST_AUTO_TEST_CASE(a_report_adds_up) {
  std::vector<LoadAnswer> answers = {Answered(0, 10, 1), Answered(1, 20, 0.5),
                                     Answered(1, 30, 1)};
  answers.emplace_back();
  answers.back().kind = AnswerKind::kRefused;
  answers.back().code = Code::kQueueFull;
  const auto report =
      MakeReport({{"fraud", 1}, {"portal", 1}}, answers, Millis(20));
  BOOST_TEST(report.total.sent == 4U);
  BOOST_TEST(report.total.whole == 2U);
  BOOST_TEST(report.routes[0].refused == 1U);
  BOOST_TEST(report.routes[1].partial == 1U);
  BOOST_TEST(report.routes[1].mean_coverage == 0.75);
  BOOST_TEST(report.routes[1].share_whole_coverage == 0.5);
  BOOST_TEST(report.total.attempts_per_shard == 1.05);
  BOOST_TEST(report.total.in_time == 2U);
  BOOST_TEST(report.routes[1].in_time == 1U);
  BOOST_TEST(report.total.p50.count == 20);
  BOOST_TEST(report.total.most.count == 30);
  const Json json = ReportJson(report);
  BOOST_TEST(json["routes"][0]["codes"]["queue_full"] == 1);
  BOOST_TEST(ReportTable(report).find("fraud: 1 queue_full (1203)") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_mark_is_the_one_the_stand_ins_give) {
  const Json query = {{"text", "x"}, {"n", 5}};
  BOOST_TEST(QueryMark(query) ==
             hibiscuspick::standins::QueryMark(DumpJson(query)));
}

// One of two daemons is gone. Half of the queries fail, each at its own
// instant, and the other half is answered.
BOOST_AUTO_TEST_CASE(a_run_sends_the_whole_plan_to_all_targets) {
  Server server({});
  std::atomic<int> asked{0};
  server.Post("/v1/query/(.+)", [&](const auto&, auto& response) {
    ++asked;
    response.set_content(DumpJson(TestBody("", 7)), "application/json");
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  uint16_t unused = 0;
  {
    Server gone({});
    BOOST_REQUIRE(IsOk(gone.Start("127.0.0.1", 0)));
    unused = gone.port();
  }
  LoadPlan plan = TestPlan(Spacing::kEven);
  plan.duration = Millis(200);
  plan.max_workers = 4;
  plan.targets = {{"127.0.0.1", server.port()}, {"127.0.0.1", unused}};
  const auto report = RunLoad(plan);
  BOOST_TEST(report.total.sent == PlanArrivals(plan).size());
  BOOST_TEST(report.total.whole == static_cast<uint64_t>(asked.load()));
  BOOST_TEST(report.total.whole + report.total.failed == report.total.sent);
  BOOST_TEST(report.total.failed == report.total.sent / 2);
  BOOST_TEST(report.workers <= 4U);
}
