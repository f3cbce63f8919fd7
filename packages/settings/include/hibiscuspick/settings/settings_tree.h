// The settings tree: values that tune, set at a level and inherited below.
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

// One level's own values; nothing where it doesn't set the key.
using LevelValues = std::array<std::optional<double>, kKeyCount>;

// A node of the tree: "system", or a level and a name such as
// "customer/skjermvern".
struct TreePath {
  Level level = Level::kSystem;
  std::string name;
};

// Nothing if there is no such level or the name isn't one.
std::optional<TreePath> ParseTreePath(std::string_view text);

struct SettingsTree {
  LevelValues system;
  std::unordered_map<DataCentreId, LevelValues> data_centres;
  std::unordered_map<CustomerId, LevelValues> customers;
  std::unordered_map<ServiceId, LevelValues> services;
  std::unordered_map<RouteId, LevelValues> routes;
};

// Checks one node's JSON object against the table: known keys, allowed at this
// level, of their type and in their range.
Checked<LevelValues> ReadLevelValues(Level level, const Json& value);

void SetLevel(SettingsTree* tree, const TreePath& path, LevelValues values);

void EraseLevel(SettingsTree* tree, const TreePath& path);

// The node's own values, nullptr if it sets none.
const LevelValues* FindLevel(const SettingsTree& tree, const TreePath& path);

// Where a value is asked for; an empty name leaves its level out.
struct Scope {
  DataCentreId data_centre;
  CustomerId customer;
  ServiceId service;
  RouteId route;
};

// A value in force and the level that set it. `capped` if that level asked for
// more than the system gives.
struct EffectiveValue {
  double number = 0;
  Level level = Level::kDefault;
  bool capped = false;
};

EffectiveValue Resolve(const SettingsTree& tree, const Scope& scope, Key key);

// All values of one scope, resolved once; the getters then never fail.
struct EffectiveSettings {
  std::array<double, kKeyCount> numbers{};
};

EffectiveSettings ResolveAll(const SettingsTree& tree, const Scope& scope);

Millis MillisOf(const EffectiveSettings& settings, Key key);
int64_t CountOf(const EffectiveSettings& settings, Key key);
double FractionOf(const EffectiveSettings& settings, Key key);
bool FlagOf(const EffectiveSettings& settings, Key key);
SendingPolicy SendingPolicyOf(const EffectiveSettings& settings);

// The lane's own key of the two groups that have one per lane.
Key LaneMinimumKey(Lane lane);
Key QueueLimitKey(Lane lane);

// A number as the key's type writes it in JSON.
Json ToJson(const KeyRow& row, double number);

// Every key: {"value", "level"} and "capped": true where it applies.
Json EffectiveJson(const SettingsTree& tree, const Scope& scope);

}  // namespace hibiscuspick::settings
