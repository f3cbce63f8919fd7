// The names of configuration objects on the platform: "services/claims-02",
// "settings/customer/c1", "drains/b1".
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hibiscuspick::settings {

enum class ObjectKind { kService, kRoute, kSnapshot, kSettings, kDrain };

struct ObjectName {
  ObjectKind kind = ObjectKind::kService;
  // The part after the kind: a name, or the tree path for settings.
  std::string rest;
};

// Returns nullopt if the kind is unknown, a part isn't a valid name, or the
// settings level doesn't exist.
std::optional<ObjectName> ParseObjectName(std::string_view text);

std::string ToText(const ObjectName& name);

// "services", "routes", "snapshots", "settings" or "drains".
std::string_view KindFolder(ObjectKind kind);

}  // namespace hibiscuspick::settings
