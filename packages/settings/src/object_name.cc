#include "hibiscuspick/settings/object_name.h"

#include <array>

#include "hibiscuspick/settings/json_reader.h"
#include "hibiscuspick/settings/settings_tree.h"

namespace hibiscuspick::settings {
namespace {

constexpr std::array<std::string_view, 5> kFolders = {
    "services", "routes", "snapshots", "settings", "drains"};

std::optional<ObjectKind> KindOf(std::string_view folder) {
  for (size_t i = 0; i < kFolders.size(); ++i) {
    if (kFolders[i] == folder) return static_cast<ObjectKind>(i);
  }
  return std::nullopt;
}

}  // namespace

std::optional<ObjectName> ParseObjectName(std::string_view text) {
  const size_t slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto kind = KindOf(text.substr(0, slash));
  if (!kind) return std::nullopt;
  const std::string_view rest = text.substr(slash + 1);
  const bool valid = *kind == ObjectKind::kSettings
                         ? ParseTreePath(rest).has_value()
                         : IsName(rest);
  if (!valid) return std::nullopt;
  return ObjectName{*kind, std::string(rest)};
}

std::string ToText(const ObjectName& name) {
  return std::string(KindFolder(name.kind)) + "/" + name.rest;
}

std::string_view KindFolder(ObjectKind kind) {
  return kFolders[static_cast<size_t>(kind)];
}

}  // namespace hibiscuspick::settings
