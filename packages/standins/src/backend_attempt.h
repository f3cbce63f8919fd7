// One request for work at a backend server stand-in, while it is there.
#pragma once

#include <condition_variable>
#include <optional>
#include <string>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/standins/backend_standin.h"

namespace hibiscuspick::standins {

// The request, read.
struct BackendStandin::Entry {
  std::string shard;
  bool is_record = false;
  std::string attempt_id;
  std::string snapshot;
  uint64_t version = 0;
  // The place in BackendStats::executed.
  size_t lane = kLaneCount;
  std::string record_key;
  Json body;
  // The instant at which X-Deadline-Ms has passed.
  Millis deadline = kNever;
};

// Guarded by the server's mutex; lives on the stack of the request's thread.
struct BackendStandin::Attempt {
  enum class State { kQueued, kRunning, kCancelled };
  State state = State::kQueued;
  size_t lane = kLaneCount;
  // Empty but for records.
  std::string record_key;
  // How often that key has been run, this time included.
  uint64_t execution = 0;
  // When the work is done; set as it starts.
  Millis done_at = kNever;
  std::condition_variable wake;
};

}  // namespace hibiscuspick::standins
