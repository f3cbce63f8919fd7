// Wrong answers that a backend server stand-in gives on demand.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"

namespace hibiscuspick::standins {

enum class FaultKind {
  kLate,           // whole and right, but `delay` later
  kCutOff,         // closed in the middle of the body
  kGarbage,        // bytes that are not HTTP
  kBadJson,        // sound HTTP around a broken body
  kEndless,        // a body without end
  kSilent,         // no answer until the caller goes
  kClosed,         // the work done, the connection closed unanswered
  kError,          // 500
  kIncomplete,     // "complete": false
  kWrongAttempt,   // another X-Attempt-Id
  kWrongSnapshot,  // another X-Snapshot
  kWrongServer,    // another X-Server-Id
};

inline constexpr std::array<std::string_view, 12> kFaultNames = {
    "late",       "cut_off",       "garbage",        "bad_json",
    "endless",    "silent",        "closed",         "error",
    "incomplete", "wrong_attempt", "wrong_snapshot", "wrong_server"};

std::optional<FaultKind> ParseFaultKind(std::string_view name);
std::string_view FaultName(FaultKind kind);

// Applies to attempts at `shard` (all if empty), queries and records alike,
// with a probability, until it has struck `left` times.
struct ReplyFault {
  FaultKind kind = FaultKind::kError;
  double probability = 1;
  uint64_t left = UINT64_MAX;
  std::string shard;
  Millis delay;
};

// The first fault that strikes this attempt, if any; counts it down.
std::optional<ReplyFault> TakeFault(std::vector<ReplyFault>& faults,
                                    std::string_view shard, Random& random);

}  // namespace hibiscuspick::standins
