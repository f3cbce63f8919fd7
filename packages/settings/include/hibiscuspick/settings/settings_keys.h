// The table of all keys of the settings tree. Validation, resolution, the
// operators' API and docs/SETTINGS.md follow it; a test compares the page with
// the table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hibiscuspick::settings {

// The levels of the tree, highest first. A lower level inherits a value unless
// it overrides it.
enum class Level {
  kDefault,
  kSystem,
  kDataCentre,
  kCustomer,
  kService,
  kRoute
};

// The level's name in paths: "system", "data_centre", "customer", "service",
// "route"; "default" for the table's default value.
std::string_view LevelName(Level level);

enum class Key {
  kDeadlineMs,
  kMaxDeadlineMs,
  kLimit,
  kMaxLimit,
  kMinCoverage,
  kRestartOnNewSnapshot,
  kSendingPolicy,
  kOwnerTimeoutMs,
  kHedgeEnabled,
  kHedgeQuantile,
  kHedgeMinMs,
  kHedgeBudget,
  kLanesEnabled,
  kSlotsEnabled,
  kLaneMinimumUrgent,
  kLaneMinimumInteractive,
  kLaneMinimumOrdinary,
  kLaneMinimumBulk,
  kQueueLimitUrgent,
  kQueueLimitInteractive,
  kQueueLimitOrdinary,
  kQueueLimitBulk,
  kCustomerRateLimit,
  kCustomerConcurrencyLimit,
  kEjectFailures,
  kEjectShareCap,
  kEjectMs,
  kSlowStartMs,
  kRecordWindowMs,
};

inline constexpr size_t kKeyCount =
    static_cast<size_t>(Key::kRecordWindowMs) + 1;

// The JSON type of a value. In memory every value is a double: 0 or 1 for a
// flag, the index in the list for a choice.
enum class KeyType { kMillis, kInteger, kFraction, kFlag, kChoice };

struct KeyRow {
  Key key;
  std::string_view name;
  KeyType type;
  double fallback;
  double min;
  double max;
  // Bit 1 << Level for each level that may set the key.
  unsigned levels;
  // A level below the data centre can only lower the value: a customer,
  // service or route can't take more than the system grants.
  bool capped;
  std::string_view meaning;
};

// The rows, in the order of Key.
std::span<const KeyRow> KeyTable();

const KeyRow& RowOf(Key key);

// The row of that name; nullptr if there is none.
const KeyRow* FindRow(std::string_view name);

// The choices of a kChoice key, in the order of their values; empty for others.
std::span<const std::string_view> ChoicesOf(Key key);

bool IsAllowedAt(const KeyRow& row, Level level);

enum class SendingPolicy { kOwner, kDirect };

}  // namespace hibiscuspick::settings
