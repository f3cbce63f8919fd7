// A bucket of claims: one object at the platform that is never deleted and
// only ever moves to later epochs.
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

// Where keys' claims lie. Every instance must use the same layout, and it can't
// be changed under the same object kind: a key looked for in another bucket
// than the one that holds its claim would run again. So none of this comes from
// the settings tree.
struct Layout {
  Millis slot{10.0 * 60 * 1000};
  // A day, the slot being filled, and two for dates slightly ahead and clocks
  // that differ.
  uint64_t ring_slots = 147;
  uint64_t buckets_per_slot = 64;
  uint64_t undated_buckets = 256;
};

struct Rules {
  Layout layout;
  // Keys dated longer ago are refused. More than the ring holds counts as what
  // it holds. Instances may differ here while a change spreads.
  Millis window{24.0 * 3600 * 1000};
  // A key dated later than now by more than this is refused.
  Millis max_ahead{60 * 1000};
  size_t max_key = 128;
  // Serialised size at which a bucket takes no more claims, under the
  // platform's limit of a megabyte so that outcomes still fit.
  size_t max_bucket_bytes = 600000;
  // A longer result is not kept; a repeat then gets null.
  size_t max_result = 2000;
};

// The longest window that the layout can hold.
Millis LongestWindow(const Layout& layout);

// Where a key's claim lives.
struct Place {
  std::string bucket;
  // The time slot of a dated key, 0 for undated ones.
  uint64_t epoch = 0;
};

// The key's date in milliseconds since 1970: thirteen digits and a hyphen at
// its start.
std::optional<Millis> DateOf(const std::string& key);

// Errors: kMalformedRequest for a key that is empty, too long or has control
// characters, kKeyTooOld, and kMalformedRequest for a date ahead of time.
Result<Place> PlaceOf(const Rules& rules, const std::string& service,
                      const std::string& key, Millis wall_now);

enum class EntryState { kClaimed, kDone, kFailed };

// One key's claim and, later, its outcome.
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

// Changes of a bucket. Each may be applied any number of times: the token tells
// a change that has already taken effect.
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
// Gives a claim back that certainly was not and will not be dispatched.
struct ReleaseClaim {
  std::string key;
  uint64_t epoch = 0;
  std::string token;
};
using Change = std::variant<Claim, StoreOutcome, ReleaseClaim>;

enum class VerdictKind {
  // The change is in the bucket.
  kInForce,
  // Another claim has the key; `entry` is what is known of it.
  kTaken,
  // The bucket is at a later epoch.
  kTooOld,
  kFull,
  // The platform could not be asked, or not in time. The change may still come
  // into force.
  kUnknown,
};

struct Verdict {
  VerdictKind kind = VerdictKind::kUnknown;
  Entry entry;
  // Applying it altered the value.
  bool is_changed = false;
};

// Applies the change to the value, as far as its verdict allows.
Verdict Apply(const Rules& rules, BucketValue* value, const Change& change);

}  // namespace hibiscuspick::records
