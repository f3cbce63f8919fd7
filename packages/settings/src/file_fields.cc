#include "file_fields.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace hibiscuspick::settings {
namespace {

constexpr std::array<std::string_view, 6> kLevels = {"trace", "debug", "info",
                                                     "warn",  "error", "off"};
// In the order of LogFormat.
constexpr std::array<std::string_view, 2> kFormats = {"text", "json"};

}  // namespace

const Json& Section(JsonReader* reader, const std::string& key) {
  static const Json empty = Json::object();
  const Json* field = reader->Find(key);
  return field ? *field : empty;
}

Millis ReadMillis(JsonReader* reader, const std::string& key,
                  IntegerRange range, Millis fallback) {
  const auto whole = static_cast<int64_t>(fallback.count);
  return Millis(static_cast<double>(reader->Integer(key, range, whole)));
}

void ReadLog(JsonReader* parent, const std::string& path, std::string* level,
             LogFormat* format, std::vector<Fault>* faults) {
  JsonReader reader(Section(parent, "log"), path + ".log", faults);
  const auto level_it = std::find(kLevels.begin(), kLevels.end(), *level);
  const auto default_level = static_cast<size_t>(level_it - kLevels.begin());
  *level = kLevels[reader.Choice("level", kLevels, default_level)];
  *format = static_cast<LogFormat>(
      reader.Choice("format", kFormats, static_cast<size_t>(*format)));
  reader.RejectUnknownKeys();
}

}  // namespace hibiscuspick::settings
