// Service times, faults, answers and settings of the backend server stand-in.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ostream>
#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/standins/backend_settings.h"
#include "hibiscuspick/standins/reply_fault.h"
#include "hibiscuspick/standins/service_time.h"
#include "hibiscuspick/standins/shard_answer.h"

namespace {

using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Json;
using hibiscuspick::Millis;
using hibiscuspick::ParseJson;
using hibiscuspick::Random;
using hibiscuspick::ValueOf;
using hibiscuspick::standins::AnswerText;
using hibiscuspick::standins::BackendSettings;
using hibiscuspick::standins::Distribution;
using hibiscuspick::standins::DrawServiceTime;
using hibiscuspick::standins::FaultKind;
using hibiscuspick::standins::HitScore;
using hibiscuspick::standins::PatchSettings;
using hibiscuspick::standins::ReplyFault;
using hibiscuspick::standins::ServiceTime;
using hibiscuspick::standins::SettingsJson;
using hibiscuspick::standins::ShardQuestion;
using hibiscuspick::standins::TakeFault;

constexpr int kDraws = 20000;

struct TimeRow {
  const char* what;
  Distribution distribution;
  double straggler_probability;
  double cold_factor;
  double age;
  // Of many draws, in milliseconds.
  double mean;
};

std::ostream& operator<<(std::ostream& out, const TimeRow& row) {
  return out << row.what;
}

const std::vector<TimeRow> kTimeRows = {
    {"fixed", Distribution::kFixed, 0, 1, 0, 5},
    {"exponential", Distribution::kExponential, 0, 1, 0, 5},
    {"lognormal", Distribution::kLognormal, 0, 1, 0, 5},
    {"one in ten is 15 times slower", Distribution::kFixed, 0.1, 1, 0, 12},
    {"cold", Distribution::kFixed, 0, 3, 0, 15},
    {"half warm", Distribution::kFixed, 0, 3, 500, 10},
    {"warm", Distribution::kFixed, 0, 3, 1000, 5},
};

struct PatchRow {
  const char* patch;
  // Empty: accepted.
  const char* wrong_key;
};

std::ostream& operator<<(std::ostream& out, const PatchRow& row) {
  return out << row.patch;
}

const std::vector<PatchRow> kPatchRows = {
    {R"({"slots": 3, "held": [6, 7], "draining": true})", ""},
    {R"({"faults": [{"kind": "late", "delay_ms": 50, "count": 2}]})", ""},
    {R"({"distribution": "lognormal", "reported_load": 9})", ""},
    {R"({"reported_load": null})", ""},
    {R"([])", "$"},
    {R"({"slot": 3})", "slot"},
    {R"({"slots": -3})", "slots"},
    {R"({"service_ms": "5"})", "service_ms"},
    {R"({"held": [6, "7"]})", "held"},
    {R"({"distribution": "normal"})", "distribution"},
    {R"({"faults": [{"count": 2}]})", "faults"},
    {R"({"faults": [{"kind": "strange"}]})", "faults"},
};

}  // namespace

BOOST_DATA_TEST_CASE(service_times_have_the_mean_asked_for, kTimeRows) {
  ServiceTime time;
  time.distribution = sample.distribution;
  time.straggler_probability = sample.straggler_probability;
  time.cold_factor = sample.cold_factor;
  time.cold_span = Millis(1000);
  Random random(7);
  double sum = 0;
  for (int i = 0; i < kDraws; ++i) {
    sum += DrawServiceTime(time, Millis(sample.age), random).count;
  }
  // The draws are the same on each run; the margin is for the seed's luck.
  BOOST_TEST(std::abs(sum / kDraws - sample.mean) < 0.05 * sample.mean);
}

BOOST_AUTO_TEST_CASE(a_fault_strikes_its_shard_as_often_as_told) {
  std::vector<ReplyFault> faults(2);
  faults[0] = {FaultKind::kLate, 1, 2, "p1", Millis(5)};
  faults[1] = {FaultKind::kError, 0, UINT64_MAX, "", Millis(0)};
  Random random(1);
  BOOST_TEST(!TakeFault(faults, "p2", random).has_value());
  BOOST_TEST((TakeFault(faults, "p1", random)->kind == FaultKind::kLate));
  BOOST_TEST((TakeFault(faults, "p1", random)->kind == FaultKind::kLate));
  BOOST_TEST(!TakeFault(faults, "p1", random).has_value());
}

BOOST_AUTO_TEST_CASE(hits_tell_shard_version_and_query) {
  ShardQuestion question;
  question.shard = "p\"2";
  question.version = 7;
  question.limit = 3;
  question.mark = "beef";
  const auto body = ParseJson(AnswerText(question, false));
  BOOST_REQUIRE(IsOk(body));
  const Json& answer = ValueOf(body);
  BOOST_TEST(answer["complete"] == false);
  BOOST_REQUIRE(answer["hits"].size() == 3U);
  double last = 1;
  uint32_t rank = 0;
  for (const Json& it : answer["hits"]) {
    BOOST_TEST(it["id"].get<std::string>().starts_with("p\"2-v7-"));
    BOOST_TEST(it["fields"]["query"] == "beef");
    BOOST_TEST(it["score"].get<double>() < last);
    last = it["score"].get<double>();
    BOOST_TEST(last == HitScore(question.shard, question.version, rank++));
  }
}

BOOST_DATA_TEST_CASE(settings_change_whole_or_not_at_all, kPatchRows) {
  BackendSettings settings;
  const Json before = SettingsJson(settings);
  const auto patch = ParseJson(sample.patch);
  BOOST_REQUIRE(IsOk(patch));
  const auto done = PatchSettings(&settings, ValueOf(patch));
  const std::string wrong_key = sample.wrong_key;
  BOOST_TEST(IsOk(done) == wrong_key.empty());
  if (!IsOk(done)) {
    BOOST_TEST(ErrorOf(done).place == wrong_key);
    BOOST_TEST(SettingsJson(settings) == before);
    return;
  }
  for (const auto& [key, value] : ValueOf(patch).items()) {
    if (key != "faults") BOOST_TEST(SettingsJson(settings)[key] == value);
  }
  BackendSettings copy;
  BOOST_TEST(IsOk(PatchSettings(&copy, SettingsJson(settings))));
  BOOST_TEST(SettingsJson(copy) == SettingsJson(settings));
}
