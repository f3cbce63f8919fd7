#include "hibiscuspick/records/bucket.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::records {
namespace {

constexpr size_t kDateDigits = 13;

// The size of an entry in addition to its texts, an overestimate.
constexpr size_t kEntryOverhead = 80;

Error MakeMalformedKeyError(const std::string& message) {
  return {Code::kMalformedRequest, "$.key", message};
}

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c != 0x7f; });
}

// Slots that the ring has in addition to its window: the one being filled, and
// two for keys dated in the future and for clock skew. A slot's object is thus
// reused only when its previous dates are out of the window.
constexpr uint64_t kSpareSlots = 3;

char StateLetter(EntryState state) {
  switch (state) {
    case EntryState::kClaimed:
      return 'c';
    case EntryState::kDone:
      return 'd';
    case EntryState::kFailed:
      return 'f';
  }
  return 'c';
}

std::optional<EntryState> StateOf(const std::string& letter) {
  if (letter == "c") return EntryState::kClaimed;
  if (letter == "d") return EntryState::kDone;
  if (letter == "f") return EntryState::kFailed;
  return std::nullopt;
}

// [token, body hash, state, result]; compact, since a bucket holds thousands.
std::optional<Entry> EntryFromJson(const Json& json) {
  if (!json.is_array() || json.size() != 4 || !json[0].is_string() ||
      !json[1].is_number_unsigned() || !json[2].is_string() ||
      !json[3].is_string()) {
    return std::nullopt;
  }
  const auto state = StateOf(json[2].get<std::string>());
  if (!state) return std::nullopt;
  return Entry{json[0].get<std::string>(), json[1].get<uint64_t>(), *state,
               json[3].get<std::string>()};
}

size_t SizeOf(const BucketValue& value) {
  size_t n = 0;
  for (const auto& [key, it] : value.entries) {
    n += key.size() + it.token.size() + it.result.size() + kEntryOverhead;
  }
  return n;
}

Verdict ApplyTo(const Rules& rules, BucketValue* value, const Claim& claim) {
  const auto it = value->entries.find(claim.key);
  if (it != value->entries.end()) {
    const bool is_ours = it->second.token == claim.token;
    return {is_ours ? VerdictKind::kApplied : VerdictKind::kClaimedByOther,
            it->second, false};
  }
  if (SizeOf(*value) >= rules.max_bucket_bytes) {
    return {VerdictKind::kFull, {}, false};
  }
  const Entry entry{claim.token, claim.body_hash, EntryState::kClaimed, ""};
  value->entries.emplace(claim.key, entry);
  return {VerdictKind::kApplied, entry, true};
}

Verdict ApplyTo(const Rules& rules, BucketValue* value,
                const StoreOutcome& outcome) {
  const auto it = value->entries.find(outcome.key);
  const bool is_ours =
      it != value->entries.end() && it->second.token == outcome.token;
  if (!is_ours) return {VerdictKind::kClaimedByOther, {}, false};
  if (it->second.state == outcome.state) {
    return {VerdictKind::kApplied, it->second, false};
  }
  it->second.state = outcome.state;
  it->second.result =
      outcome.result.size() <= rules.max_result_bytes ? outcome.result : "";
  return {VerdictKind::kApplied, it->second, true};
}

Verdict ApplyTo(const Rules&, BucketValue* value, const ReleaseClaim& release) {
  const auto it = value->entries.find(release.key);
  const bool is_ours =
      it != value->entries.end() && it->second.token == release.token;
  if (is_ours) value->entries.erase(it);
  return {VerdictKind::kApplied, {}, is_ours};
}

}  // namespace

Millis MaxWindow(const Layout& layout) {
  return layout.slot * static_cast<double>(layout.ring_slots - kSpareSlots);
}

std::optional<Millis> DateOf(const std::string& key) {
  if (key.size() <= kDateDigits || key[kDateDigits] != '-') {
    return std::nullopt;
  }
  double date = 0;
  for (size_t i = 0; i < kDateDigits; ++i) {
    if (key[i] < '0' || key[i] > '9') return std::nullopt;
    date = date * 10 + (key[i] - '0');
  }
  return Millis(date);
}

Result<KeyLocation> LocateKey(const Rules& rules, const std::string& service,
                              const std::string& key, Millis wall_now) {
  if (key.empty()) return MakeMalformedKeyError("must not be empty");
  if (key.size() > rules.max_key_bytes) {
    return MakeMalformedKeyError("is too long");
  }
  if (!IsPrintable(key)) return MakeMalformedKeyError("has control characters");
  const Layout& layout = rules.layout;
  const uint64_t hash = Hash(key, Hash(service));
  const auto date = DateOf(key);
  if (!date) {
    return KeyLocation{
        "undated-" + std::to_string(hash % layout.undated_buckets), 0};
  }
  if (*date > wall_now + rules.max_ahead) {
    return MakeMalformedKeyError("is dated too far in the future");
  }
  if (*date < wall_now - Min(rules.window, MaxWindow(layout))) {
    return Error{Code::kKeyTooOld, "$.key", ""};
  }
  const auto slot =
      static_cast<uint64_t>(std::floor(date->count / layout.slot.count));
  return KeyLocation{"ring-" + std::to_string(slot % layout.ring_slots) + "-" +
                         std::to_string(hash % layout.buckets_per_slot),
                     slot};
}

Json ToJson(const BucketValue& value) {
  Json entries = Json::object();
  for (const auto& [key, it] : value.entries) {
    entries[key] = {it.token, it.body_hash,
                    std::string(1, StateLetter(it.state)), it.result};
  }
  return Json{{"epoch", value.epoch}, {"entries", std::move(entries)}};
}

Result<BucketValue> BucketFromJson(const Json& json) {
  const Error bad{Code::kBadReply, "record",
                  "the bucket of claims has an invalid format"};
  if (!json.is_object() || !json.contains("epoch") ||
      !json["epoch"].is_number_unsigned() || !json.contains("entries") ||
      !json["entries"].is_object()) {
    return bad;
  }
  BucketValue value;
  value.epoch = json["epoch"].get<uint64_t>();
  for (const auto& [key, it] : json["entries"].items()) {
    auto entry = EntryFromJson(it);
    if (!entry) return bad;
    value.entries.emplace(key, std::move(*entry));
  }
  return value;
}

Verdict Apply(const Rules& rules, BucketValue* value, const Change& change) {
  const uint64_t epoch =
      std::visit([](const auto& it) { return it.epoch; }, change);
  if (epoch < value->epoch) return {VerdictKind::kTooOld, {}, false};
  // The bucket's previous dates are out of the window. Only a claim advances
  // the epoch: an outcome's claim is in the bucket already, or was removed by a
  // later epoch.
  if (epoch > value->epoch) {
    if (!std::holds_alternative<Claim>(change)) {
      return {VerdictKind::kClaimedByOther, {}, false};
    }
    value->epoch = epoch;
    value->entries.clear();
  }
  return std::visit([&](const auto& it) { return ApplyTo(rules, value, it); },
                    change);
}

}  // namespace hibiscuspick::records
