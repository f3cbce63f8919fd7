// A bucket of claims: an object on the platform that is never deleted and whose
// epoch only increases.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::records {

// The mapping of keys to buckets. Every instance must use the same layout, and
// it can't be changed under the same object kind: if a key were looked up in
// another bucket than the one that holds its claim, it would run again. The
// layout is therefore not part of the settings tree.
struct Layout {
  Millis slot{10.0 * 60 * 1000};
  // A day, the slot being filled, and two for dates slightly in the future and
  // for clock skew.
  uint64_t ring_slots = 147;
  uint64_t buckets_per_slot = 64;
  uint64_t undated_buckets = 256;
};

struct Rules {
  Layout layout;
  // Keys with an older date are rejected. Limited to what the ring holds.
  // Instances may have different values while a change propagates.
  Millis window{24.0 * 3600 * 1000};
  // A key dated further in the future than this is rejected.
  Millis max_ahead{60 * 1000};
  size_t max_key_bytes = 128;
  // The serialised size at which a bucket accepts no more claims. It is below
  // the platform's limit of one megabyte so that outcomes still fit.
  size_t max_bucket_bytes = 600000;
  // A longer result is not stored; a repeat of the record then gets null.
  size_t max_result_bytes = 2000;
};

// The longest window that the layout supports.
Millis MaxWindow(const Layout& layout);

// The location of a key's claim.
struct KeyLocation {
  std::string bucket;
  // The time slot of a dated key; 0 for undated keys.
  uint64_t epoch = 0;
};

// The date in the key, in milliseconds since 1970: thirteen digits and a hyphen
// at its start.
std::optional<Millis> DateOf(const std::string& key);

// Errors: kMalformedRequest for a key that is empty, too long, contains control
// characters or is dated too far in the future; kKeyTooOld.
Result<KeyLocation> LocateKey(const Rules& rules, const std::string& service,
                              const std::string& key, Millis wall_now);

enum class EntryState { kClaimed, kDone, kFailed };

// The claim of one key and, later, its outcome.
struct Entry {
  std::string token;
  uint64_t body_hash = 0;
  EntryState state = EntryState::kClaimed;
  std::string result;
};

struct BucketValue {
  uint64_t epoch = 0;
  std::map<std::string, Entry> entries;
};

Json ToJson(const BucketValue& value);
// Errors: kBadReply.
Result<BucketValue> BucketFromJson(const Json& json);

// Changes of a bucket. They are idempotent: the token identifies a change that
// has already been applied.
struct Claim {
  std::string key;
  uint64_t epoch = 0;
  std::string token;
  uint64_t body_hash = 0;
};
struct StoreOutcome {
  std::string key;
  uint64_t epoch = 0;
  std::string token;
  EntryState state = EntryState::kDone;
  std::string result;
};
// Removes a claim whose record was certainly not dispatched and never will be.
struct ReleaseClaim {
  std::string key;
  uint64_t epoch = 0;
  std::string token;
};
using Change = std::variant<Claim, StoreOutcome, ReleaseClaim>;

enum class VerdictKind {
  // The bucket contains the change.
  kApplied,
  // Another claim holds the key; `entry` is its state.
  kClaimedByOther,
  // The bucket has moved to a later epoch.
  kTooOld,
  kFull,
  // The platform could not be reached, or not in time. The change may still
  // take effect.
  kUnknown,
};

struct Verdict {
  VerdictKind kind = VerdictKind::kUnknown;
  Entry entry;
  // Whether applying the change altered the value.
  bool is_changed = false;
};

// Applies the change to the value if its verdict allows it.
Verdict Apply(const Rules& rules, BucketValue* value, const Change& change);

}  // namespace hibiscuspick::records
