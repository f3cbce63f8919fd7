// What both kinds of the daemon's settings file have in common.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/json_reader.h"

namespace hibiscuspick::settings {

// The longest time that a setting may name, in milliseconds.
inline constexpr int64_t kHour = 3'600'000;

// An optional object; a missing one reads as empty.
const Json& Section(JsonReader* reader, const std::string& key);

// Whole milliseconds; `fallback` if the key is missing.
Millis ReadMillis(JsonReader* reader, const std::string& key,
                  IntegerRange range, Millis fallback);

// The section "log" of the object at `path`. What it leaves out stays as it is.
void ReadLog(JsonReader* parent, const std::string& path, std::string* level,
             LogFormat* format, std::vector<Fault>* faults);

}  // namespace hibiscuspick::settings
