// The numbered result codes. docs/ERRORS.md is this table in prose, and a test
// holds the two together. Numbers are never reused or changed in meaning.
#pragma once

#include <span>
#include <string_view>

namespace hibiscuspick {

// The first two digits name the part: 10 request, 11 snapshot, 12 limits,
// 21 attempts, 22 shards, 31 records, 41 configuration, 51 platform,
// 61 between instances.
enum class Code {
  kOk = 0,
  kMalformedRequest = 1001,
  kUnknownRoute = 1002,
  kUnknownService = 1003,
  kRequestTooLarge = 1004,
  kUnauthorized = 1005,
  kNotFound = 1006,
  kNotReady = 1007,
  kLeaving = 1008,
  kCallerGone = 1009,
  kNoSnapshot = 1101,
  kSnapshotGone = 1102,
  kCustomerLimit = 1201,
  kDeadlineUnreachable = 1202,
  kQueueFull = 1203,
  kNoServer = 1204,
  kConnectFailed = 2101,
  kReadFailed = 2102,
  kBadReply = 2103,
  kDeadlineExceeded = 2104,
  kWrongEcho = 2105,
  kVersionNotHeld = 2106,
  kShed = 2107,
  kBackendError = 2108,
  kCancelled = 2109,
  kReplyTooLarge = 2110,
  kNotWaitedFor = 2111,
  kOwnerUnreachable = 2201,
  kKeyInUse = 3101,
  kOutcomeUnknown = 3102,
  kKeyTooOld = 3103,
  kRecordFailed = 3104,
  kInvalidValue = 4101,
  kVersionConflict = 4102,
  kAcceptanceUnknown = 4103,
  kPlatformUnavailable = 5101,
  kPlatformConflict = 5102,
  kPlatformReplyLost = 5103,
  kPlatformWentBack = 5104,
  kPeerRefused = 6101,
  kPeerVersion = 6102,
  kPeerUnreachable = 6103,
};

// One row of the table: the number, its stable name, and one sentence.
struct CodeRow {
  Code code;
  std::string_view name;
  std::string_view meaning;
};

// All codes, in rising order.
std::span<const CodeRow> CodeTable();

// The stable name of a code, "unknown" for a number that is not in the table
// (a newer peer may send one).
std::string_view CodeName(Code code);

// The row's sentence, empty for an unknown number.
std::string_view CodeMeaning(Code code);

// Whether anything of a refused request may have reached a backend server.
enum class Ran { kNo, kMaybe };

// "no" or "maybe", as callers read it.
std::string_view RanName(Ran ran);

}  // namespace hibiscuspick
