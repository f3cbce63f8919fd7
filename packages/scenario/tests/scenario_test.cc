#include "hibiscuspick/scenario/scenario.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace data = boost::unit_test::data;
using hibiscuspick::scenario::RunScenario;

namespace {

std::vector<std::string> AllScenarios() {
  std::vector<std::string> files;
  for (const auto& it : std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
    if (it.path().extension() == ".lua") files.push_back(it.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

// The first run of a scenario in this program, kept since a run takes seconds
// under a sanitizer and two tests look at it.
const hibiscuspick::scenario::ScenarioResult& FirstRun(
    const std::string& file) {
  static std::map<std::string, hibiscuspick::scenario::ScenarioResult> runs;
  const auto it = runs.find(file);
  if (it != runs.end()) return it->second;
  return runs.emplace(file, RunScenario(file, std::nullopt)).first->second;
}

}  // namespace

BOOST_AUTO_TEST_CASE(there_are_scenarios) {
  BOOST_TEST(!AllScenarios().empty());
}

// Each script's first comment tells how the failure comes about and what a
// user notices.
BOOST_DATA_TEST_CASE(a_scenario_keeps_every_promise, data::make(AllScenarios()),
                     file) {
  const auto& result = FirstRun(file);
  for (const auto& it : result.failures) BOOST_ERROR(it);
  BOOST_TEST(!result.trace.empty());
}

// A verdict that changes from run to run proves nothing.
BOOST_DATA_TEST_CASE(a_scenario_runs_the_same_each_time,
                     data::make(AllScenarios()), file) {
  const auto& first = FirstRun(file);
  const auto second = RunScenario(file, std::nullopt);
  BOOST_TEST(first.trace == second.trace, boost::test_tools::per_element());
}
