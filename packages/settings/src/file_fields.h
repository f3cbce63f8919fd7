// Fields that the settings files of the daemon and of edge instances share.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/settings/json_reader.h"

namespace hibiscuspick::settings {

// The maximum of any duration in a settings file, in milliseconds.
inline constexpr int64_t kHour = 3'600'000;

// An optional object; empty if it is missing.
const Json& Section(JsonReader* reader, const std::string& key);

// A whole number of milliseconds; `fallback` if the key is missing.
Millis ReadMillis(JsonReader* reader, const std::string& key,
                  IntegerRange range, Millis fallback);

// Reads the section "log" of the object at `path`; missing fields leave the
// outputs unchanged.
void ReadLog(JsonReader* parent, const std::string& path, std::string* level,
             LogFormat* format, std::vector<Fault>* faults);

}  // namespace hibiscuspick::settings
