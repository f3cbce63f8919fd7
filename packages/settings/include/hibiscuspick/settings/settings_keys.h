// The one table of all keys of the settings tree. It drives checking,
// resolving, the operators' API and docs/SETTINGS.md; a test holds the page to
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hibiscuspick::settings {

// The levels of the tree, highest first. A value is inherited by every level
// below unless one of them overrides it.
enum class Level {
  kDefault,
  kSystem,
  kDataCentre,
  kCustomer,
  kService,
  kRoute
};

// The word in paths: "system", "data_centre", "customer", "service", "route";
// "default" for the table's own value.
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

// How a value is written in JSON. Inside, all are one double: 0 or 1 for a
// flag, the place in the list for a choice.
enum class KeyType { kMillis, kInteger, kFraction, kFlag, kChoice };

struct KeyRow {
  Key key;
  std::string_view name;
  KeyType type;
  double fallback;
  double least;
  double most;
  // Bit 1 << Level for each level where it may be set.
  unsigned levels;
  // Below the data centre it can only be made smaller: a customer, service or
  // route can't take more than the system gives.
  bool capped;
  std::string_view meaning;
};

// Rows in the order of Key.
std::span<const KeyRow> KeyTable();

const KeyRow& RowOf(Key key);

// The row of that name, nullptr if there is none.
const KeyRow* FindRow(std::string_view name);

// The words of a kChoice key, in the order of their numbers; empty for others.
std::span<const std::string_view> ChoicesOf(Key key);

bool MayStandAt(const KeyRow& row, Level level);

enum class SendingPolicy { kOwner, kDirect };

}  // namespace hibiscuspick::settings
