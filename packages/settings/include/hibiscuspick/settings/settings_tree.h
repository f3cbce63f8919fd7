// The settings tree: tuning values that are set at a level and inherited below.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/faults.h"
#include "hibiscuspick/settings/settings_keys.h"

namespace hibiscuspick::settings {

// The values that one level sets itself; nullopt for keys that it doesn't set.
using LevelValues = std::array<std::optional<double>, kKeyCount>;

// A node of the tree: "system", or a level and a name such as "customer/c1".
struct TreePath {
  Level level = Level::kSystem;
  std::string name;
};

// Returns nullopt if the level is unknown or the name invalid.
std::optional<TreePath> ParseTreePath(std::string_view text);

struct SettingsTree {
  LevelValues system;
  std::unordered_map<DataCentreId, LevelValues> data_centres;
  std::unordered_map<CustomerId, LevelValues> customers;
  std::unordered_map<ServiceId, LevelValues> services;
  std::unordered_map<RouteId, LevelValues> routes;
};

// Validates one node's JSON object against the table: known keys that may be
// set at this level, with values of the right type and range.
Checked<LevelValues> ReadLevelValues(Level level, const Json& value);

void SetLevel(SettingsTree* tree, const TreePath& path, LevelValues values);

void EraseLevel(SettingsTree* tree, const TreePath& path);

// The node's own values; nullptr if there is no such node.
const LevelValues* FindLevel(const SettingsTree& tree, const TreePath& path);

// The scope for which values are resolved; a level with an empty name is
// skipped.
struct Scope {
  DataCentreId data_centre;
  CustomerId customer;
  ServiceId service;
  RouteId route;
};

// An effective value and the level that set it. `capped` if that level asked
// for more than the system grants.
struct EffectiveValue {
  double number = 0;
  Level level = Level::kDefault;
  bool capped = false;
};

EffectiveValue Resolve(const SettingsTree& tree, const Scope& scope, Key key);

// All values of one scope, resolved in advance; the getters below can't fail.
struct EffectiveSettings {
  std::array<double, kKeyCount> numbers{};
};

EffectiveSettings ResolveAll(const SettingsTree& tree, const Scope& scope);

Millis MillisOf(const EffectiveSettings& settings, Key key);
int64_t CountOf(const EffectiveSettings& settings, Key key);
double FractionOf(const EffectiveSettings& settings, Key key);
bool FlagOf(const EffectiveSettings& settings, Key key);
SendingPolicy SendingPolicyOf(const EffectiveSettings& settings);

// The key of the lane in the two groups that have one key for each lane.
Key LaneMinimumKey(Lane lane);
Key QueueLimitKey(Lane lane);

// The value in the JSON form of the key's type.
Json ToJson(const KeyRow& row, double number);

// All keys, each as {"value", "level"}, with "capped": true if it is capped.
Json EffectiveJson(const SettingsTree& tree, const Scope& scope);

}  // namespace hibiscuspick::settings
