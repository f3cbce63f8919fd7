// The names of configuration objects at the platform: "services/claims-02",
// "settings/customer/skjermvern", "drains/b1".
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hibiscuspick::settings {

enum class ObjectKind { kService, kRoute, kSnapshot, kSettings, kDrain };

struct ObjectName {
  ObjectKind kind = ObjectKind::kService;
  // What follows the kind: a name, or the level's path for settings.
  std::string rest;
};

// Nothing if the kind is unknown, a part isn't a name, or a settings level
// doesn't exist.
std::optional<ObjectName> ParseObjectName(std::string_view text);

std::string ToText(const ObjectName& name);

// "services", "routes", "snapshots", "settings" or "drains".
std::string_view KindFolder(ObjectKind kind);

}  // namespace hibiscuspick::settings
