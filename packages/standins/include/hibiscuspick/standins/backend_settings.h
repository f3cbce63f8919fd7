// What one backend server stand-in is like. A test may change all of it while
// the server runs, by a JSON object that names the keys to change.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/standins/reply_fault.h"
#include "hibiscuspick/standins/service_time.h"

namespace hibiscuspick::standins {

struct BackendSettings {
  size_t slots = 2;
  size_t max_queue = 64;
  // TCP connections; one more is closed unread.
  size_t max_connections = 25;
  // Before the first request of a new connection is read.
  Millis connection_setup{0};
  ServiceTime service_time;
  // Index versions held.
  std::vector<uint64_t> held = {1};
  uint64_t documents = 100;
  // Says X-Draining: true on each reply.
  bool draining = false;
  // Sheds all work.
  bool shedding = false;
  // Sends X-Server-Incarnation.
  bool tells_incarnation = true;
  // Given instead of the true figures by /v1/load, to mislead.
  std::optional<uint64_t> reported_load;
  // How old the figures of /v1/load are.
  Millis load_lag{0};
  std::vector<ReplyFault> faults;
};

// Changes the settings by the keys of `patch`. Errors: kInvalidValue with the
// key as place; the settings are then as before.
Result<Done> PatchSettings(BackendSettings* settings, const Json& patch);

// The settings with the keys that PatchSettings takes.
Json SettingsJson(const BackendSettings& settings);

}  // namespace hibiscuspick::standins
