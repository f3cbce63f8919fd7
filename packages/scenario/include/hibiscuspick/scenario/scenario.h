// Runs a scenario: a Lua script against a World. docs/SCENARIOS.md lists the
// words a script may use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuspick::scenario {

struct ScenarioResult {
  // Why it failed: a broken promise, an expectation, or a fault in the script.
  std::vector<std::string> failures;
  std::vector<std::string> trace;
};

// `seed` goes before the script's own.
ScenarioResult RunScenario(const std::string& path,
                           std::optional<uint64_t> seed);

}  // namespace hibiscuspick::scenario
