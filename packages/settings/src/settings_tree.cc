#include "hibiscuspick/settings/settings_tree.h"

#include <cmath>
#include <utility>
#include <vector>

#include "hibiscuspick/settings/json_reader.h"

namespace hibiscuspick::settings {
namespace {

constexpr Level kNamedLevels[] = {Level::kDataCentre, Level::kCustomer,
                                  Level::kService, Level::kRoute};

// The tree's nodes that apply to a scope, highest level first.
struct Chain {
  struct Link {
    Level level;
    const LevelValues* values;
  };
  std::array<Link, 5> links;
  size_t size = 0;

  void Add(Level level, const LevelValues* values) {
    links[size++] = {level, values};
  }
};

template <class Map, class Id>
const LevelValues* FindNamed(const Map& map, const Id& id) {
  const auto it = map.find(id);
  return it == map.end() ? nullptr : &it->second;
}

template <class Map, class Id>
void AddNamed(Chain* chain, Level level, const Map& map, const Id& id) {
  if (id.empty()) return;
  if (const auto* values = FindNamed(map, id)) chain->Add(level, values);
}

Chain ChainOf(const SettingsTree& tree, const Scope& scope) {
  Chain chain;
  chain.Add(Level::kSystem, &tree.system);
  AddNamed(&chain, Level::kDataCentre, tree.data_centres, scope.data_centre);
  AddNamed(&chain, Level::kCustomer, tree.customers, scope.customer);
  AddNamed(&chain, Level::kService, tree.services, scope.service);
  AddNamed(&chain, Level::kRoute, tree.routes, scope.route);
  return chain;
}

EffectiveValue ResolveIn(const Chain& chain, const KeyRow& row) {
  EffectiveValue out{row.fallback, Level::kDefault, false};
  // The value set for the whole system or data centre; only these levels can
  // raise a capped key.
  double cap = row.fallback;
  for (size_t i = 0; i < chain.size; ++i) {
    const auto& link = chain.links[i];
    const auto& value = (*link.values)[static_cast<size_t>(row.key)];
    if (!value) continue;
    const bool is_below_data_centre = link.level > Level::kDataCentre;
    if (!is_below_data_centre) cap = *value;
    out.capped = is_below_data_centre && row.capped && *value > cap;
    out.number = out.capped ? cap : *value;
    out.level = link.level;
  }
  return out;
}

std::string RangeText(const KeyRow& row) {
  return "from " + Json(row.min).dump() + " to " + Json(row.max).dump();
}

std::optional<double> ReadChoice(const KeyRow& row, const Json& value) {
  const auto words = ChoicesOf(row.key);
  for (size_t i = 0; i < words.size(); ++i) {
    if (value.is_string() && value.get_ref<const std::string&>() == words[i]) {
      return static_cast<double>(i);
    }
  }
  return std::nullopt;
}

// The number of a JSON value; nullopt if it has the wrong type or is out of
// range.
std::optional<double> ReadNumber(const KeyRow& row, const Json& value) {
  if (row.type == KeyType::kChoice) return ReadChoice(row, value);
  if (row.type == KeyType::kFlag) {
    if (!value.is_boolean()) return std::nullopt;
    return value.get<bool>() ? 1 : 0;
  }
  if (!value.is_number()) return std::nullopt;
  const double n = value.get<double>();
  if (!(n >= row.min && n <= row.max)) return std::nullopt;
  if (row.type == KeyType::kInteger && n != std::floor(n)) return std::nullopt;
  return n;
}

std::string ExpectedText(const KeyRow& row) {
  switch (row.type) {
    case KeyType::kFlag:
      return "must be true or false";
    case KeyType::kChoice: {
      std::string text = "must be one of:";
      for (const auto it : ChoicesOf(row.key)) text += " " + std::string(it);
      return text;
    }
    case KeyType::kInteger:
      return "must be a whole number " + RangeText(row);
    case KeyType::kMillis:
      return "must be milliseconds " + RangeText(row);
    case KeyType::kFraction:
      break;
  }
  return "must be a number " + RangeText(row);
}

std::string LevelsText(const KeyRow& row) {
  std::string text = "may only be set at:";
  for (int i = 1; i <= static_cast<int>(Level::kRoute); ++i) {
    const auto level = static_cast<Level>(i);
    if (IsAllowedAt(row, level)) text += " " + std::string(LevelName(level));
  }
  return text;
}

}  // namespace

std::optional<TreePath> ParseTreePath(std::string_view text) {
  if (text == LevelName(Level::kSystem)) return TreePath{Level::kSystem, ""};
  const size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const std::string_view name = text.substr(slash + 1);
  if (!IsName(name)) return std::nullopt;
  for (const Level it : kNamedLevels) {
    if (LevelName(it) == text.substr(0, slash)) {
      return TreePath{it, std::string(name)};
    }
  }
  return std::nullopt;
}

Checked<LevelValues> ReadLevelValues(Level level, const Json& value) {
  std::vector<Fault> faults;
  LevelValues values;
  JsonReader reader(value, "$", &faults);
  for (const KeyRow& row : KeyTable()) {
    const std::string name(row.name);
    const Json* field = reader.Find(name);
    if (!field) continue;
    const auto number = ReadNumber(row, *field);
    if (!IsAllowedAt(row, level)) {
      reader.AddFault(name, LevelsText(row));
    } else if (!number) {
      reader.AddFault(name, ExpectedText(row));
    }
    values[static_cast<size_t>(row.key)] = number;
  }
  reader.RejectUnknownKeys();
  if (!faults.empty()) return faults;
  return values;
}

void SetLevel(SettingsTree* tree, const TreePath& path, LevelValues values) {
  switch (path.level) {
    case Level::kDefault:
      return;
    case Level::kSystem:
      tree->system = values;
      return;
    case Level::kDataCentre:
      tree->data_centres[DataCentreId(path.name)] = values;
      return;
    case Level::kCustomer:
      tree->customers[CustomerId(path.name)] = values;
      return;
    case Level::kService:
      tree->services[ServiceId(path.name)] = values;
      return;
    case Level::kRoute:
      tree->routes[RouteId(path.name)] = values;
      return;
  }
}

void EraseLevel(SettingsTree* tree, const TreePath& path) {
  switch (path.level) {
    case Level::kDefault:
      return;
    case Level::kSystem:
      tree->system = LevelValues();
      return;
    case Level::kDataCentre:
      tree->data_centres.erase(DataCentreId(path.name));
      return;
    case Level::kCustomer:
      tree->customers.erase(CustomerId(path.name));
      return;
    case Level::kService:
      tree->services.erase(ServiceId(path.name));
      return;
    case Level::kRoute:
      tree->routes.erase(RouteId(path.name));
      return;
  }
}

const LevelValues* FindLevel(const SettingsTree& tree, const TreePath& path) {
  switch (path.level) {
    case Level::kDefault:
      return nullptr;
    case Level::kSystem:
      return &tree.system;
    case Level::kDataCentre:
      return FindNamed(tree.data_centres, DataCentreId(path.name));
    case Level::kCustomer:
      return FindNamed(tree.customers, CustomerId(path.name));
    case Level::kService:
      return FindNamed(tree.services, ServiceId(path.name));
    case Level::kRoute:
      return FindNamed(tree.routes, RouteId(path.name));
  }
  return nullptr;
}

EffectiveValue Resolve(const SettingsTree& tree, const Scope& scope, Key key) {
  return ResolveIn(ChainOf(tree, scope), RowOf(key));
}

EffectiveSettings ResolveAll(const SettingsTree& tree, const Scope& scope) {
  const Chain chain = ChainOf(tree, scope);
  EffectiveSettings settings;
  for (const KeyRow& row : KeyTable()) {
    settings.numbers[static_cast<size_t>(row.key)] =
        ResolveIn(chain, row).number;
  }
  return settings;
}

Millis MillisOf(const EffectiveSettings& settings, Key key) {
  return Millis(settings.numbers[static_cast<size_t>(key)]);
}

int64_t CountOf(const EffectiveSettings& settings, Key key) {
  return static_cast<int64_t>(settings.numbers[static_cast<size_t>(key)]);
}

double FractionOf(const EffectiveSettings& settings, Key key) {
  return settings.numbers[static_cast<size_t>(key)];
}

bool FlagOf(const EffectiveSettings& settings, Key key) {
  return settings.numbers[static_cast<size_t>(key)] != 0;
}

SendingPolicy SendingPolicyOf(const EffectiveSettings& settings) {
  return CountOf(settings, Key::kSendingPolicy) == 0 ? SendingPolicy::kOwner
                                                     : SendingPolicy::kDirect;
}

Key LaneMinimumKey(Lane lane) {
  return static_cast<Key>(static_cast<size_t>(Key::kLaneMinimumUrgent) +
                          LaneIndex(lane));
}

Key QueueLimitKey(Lane lane) {
  return static_cast<Key>(static_cast<size_t>(Key::kQueueLimitUrgent) +
                          LaneIndex(lane));
}

Json ToJson(const KeyRow& row, double number) {
  switch (row.type) {
    case KeyType::kFlag:
      return number != 0;
    case KeyType::kChoice:
      return ChoicesOf(row.key)[static_cast<size_t>(number)];
    case KeyType::kInteger:
      return static_cast<int64_t>(number);
    case KeyType::kMillis:
    case KeyType::kFraction:
      break;
  }
  // Writes 200 rather than 200.0.
  if (number == std::floor(number)) return static_cast<int64_t>(number);
  return number;
}

Json EffectiveJson(const SettingsTree& tree, const Scope& scope) {
  const Chain chain = ChainOf(tree, scope);
  Json out = Json::object();
  for (const KeyRow& row : KeyTable()) {
    const auto value = ResolveIn(chain, row);
    Json& entry = out[std::string(row.name)];
    entry = {{"value", ToJson(row, value.number)},
             {"level", LevelName(value.level)}};
    if (value.capped) entry["capped"] = true;
  }
  return out;
}

}  // namespace hibiscuspick::settings
