#include "hibiscuspick/settings/settings_keys.h"

#include <algorithm>
#include <array>

namespace hibiscuspick::settings {
namespace {

constexpr unsigned Bit(Level level) {
  return 1U << static_cast<unsigned>(level);
}

constexpr unsigned kSystemLevels =
    Bit(Level::kSystem) | Bit(Level::kDataCentre);
constexpr unsigned kPerCustomer = kSystemLevels | Bit(Level::kCustomer);
constexpr unsigned kPerService = kSystemLevels | Bit(Level::kService);
constexpr unsigned kPerRequest = kPerCustomer | Bit(Level::kRoute);

constexpr double kHourMs = 3600.0 * 1000;
constexpr double kDayMs = 24 * kHourMs;

constexpr bool kCapped = true;
constexpr bool kUncapped = false;

using enum Key;
using enum KeyType;

constexpr std::array<KeyRow, kKeyCount> kTable = {{
    {kDeadlineMs, "deadline_ms", kMillis, 200, 1, 60000, kPerRequest, kUncapped,
     "The time for a whole answer when the request names none."},
    {kMaxDeadlineMs, "max_deadline_ms", kMillis, 10000, 1, 600000, kPerRequest,
     kCapped, "The longest deadline a request may ask for."},
    {kLimit, "limit", kInteger, 20, 1, 10000, kPerRequest, kUncapped,
     "The number of hits when the request names none."},
    {kMaxLimit, "max_limit", kInteger, 1000, 1, 10000, kPerRequest, kCapped,
     "The highest number of hits a request may ask for."},
    {kMinCoverage, "min_coverage", kFraction, 1, 0, 1, kPerRequest, kUncapped,
     "The share of documents from which an answer counts as enough. With "
     "prefer latency the answer is given as soon as it is there."},
    {kRestartOnNewSnapshot, "restart_on_new_snapshot", kFlag, 1, 0, 1,
     kPerRequest, kUncapped,
     "Whether a query whose pinned snapshot is dropped by its backend servers "
     "starts again on the newer one."},
    {kSendingPolicy, "sending_policy", kChoice, 0, 0, 1, kPerService, kUncapped,
     "Whether work goes to a backend server through its owner instance or "
     "directly from each instance."},
    {kOwnerTimeoutMs, "owner_timeout_ms", kMillis, 60, 1, 60000, kPerRequest,
     kUncapped,
     "How long an owner may be silent about a query's part before the next "
     "instance is asked."},
    {kHedgeEnabled, "hedge_enabled", kFlag, 1, 0, 1, kPerService, kUncapped,
     "Whether a slow attempt is doubled at another backend server."},
    {kHedgeQuantile, "hedge_quantile", kFraction, 0.95, 0.5, 0.9999,
     kPerService, kUncapped,
     "The quantile of recent latency after which an attempt counts as slow."},
    {kHedgeMinMs, "hedge_min_ms", kMillis, 2, 0, 60000, kPerService, kUncapped,
     "The shortest time before a hedge."},
    {kHedgeBudget, "hedge_budget", kFraction, 0.05, 0, 1, kPerService, kCapped,
     "Hedges and retries together, as a share of first attempts."},
    {kLanesEnabled, "lanes_enabled", kFlag, 1, 0, 1, kPerService, kUncapped,
     "Whether waiting work is ordered by lane; if not, first come first "
     "served."},
    {kSlotsEnabled, "slots_enabled", kFlag, 1, 0, 1, kPerService, kUncapped,
     "Whether an owner counts a backend server's slots and sends no more than "
     "they take."},
    {kLaneMinimumUrgent, "lane_minimum_urgent", kFraction, 0, 0, 1, kPerService,
     kUncapped, "The urgent lane's guaranteed share of slots."},
    {kLaneMinimumInteractive, "lane_minimum_interactive", kFraction, 0.1, 0, 1,
     kPerService, kUncapped,
     "The interactive lane's guaranteed share of slots."},
    {kLaneMinimumOrdinary, "lane_minimum_ordinary", kFraction, 0.05, 0, 1,
     kPerService, kUncapped, "The ordinary lane's guaranteed share of slots."},
    {kLaneMinimumBulk, "lane_minimum_bulk", kFraction, 0.05, 0, 1, kPerService,
     kUncapped, "The bulk lane's guaranteed share of slots."},
    {kQueueLimitUrgent, "queue_limit_urgent", kInteger, 1024, 1, 100000,
     kPerService, kUncapped, "Urgent tasks that may wait for one service."},
    {kQueueLimitInteractive, "queue_limit_interactive", kInteger, 2048, 1,
     100000, kPerService, kUncapped,
     "Interactive tasks that may wait for one service."},
    {kQueueLimitOrdinary, "queue_limit_ordinary", kInteger, 2048, 1, 100000,
     kPerService, kUncapped, "Ordinary tasks that may wait for one service."},
    {kQueueLimitBulk, "queue_limit_bulk", kInteger, 4096, 1, 100000,
     kPerService, kUncapped, "Bulk tasks that may wait for one service."},
    {kCustomerRateLimit, "customer_rate_limit", kInteger, 0, 0, 1000000,
     kPerCustomer, kUncapped,
     "Requests a second that one customer may send to one instance; 0 for no "
     "limit."},
    {kCustomerConcurrencyLimit, "customer_concurrency_limit", kInteger, 512, 0,
     100000, kPerCustomer, kUncapped,
     "Requests of one customer that one instance works on at once; 0 for no "
     "limit."},
    {kEjectFailures, "eject_failures", kInteger, 5, 1, 1000, kPerService,
     kUncapped, "Failures in a row after which a backend server is ejected."},
    {kEjectShareCap, "eject_share_cap", kFraction, 0.5, 0, 1, kPerService,
     kUncapped,
     "The largest share of a service's backend servers that may be ejected "
     "at once."},
    {kEjectMs, "eject_ms", kMillis, 1000, 100, kHourMs, kPerService, kUncapped,
     "How long a first ejection lasts."},
    {kSlowStartMs, "slow_start_ms", kMillis, 10000, 0, kHourMs, kPerService,
     kUncapped,
     "How long a new or returned backend server takes to reach its full "
     "share."},
    {kRecordWindowMs, "record_window_ms", kMillis, kDayMs, 60000, 30 * kDayMs,
     kSystemLevels, kUncapped, "How long a record's key is remembered."},
}};

constexpr bool RowsAreInOrder() {
  for (size_t i = 0; i < kKeyCount; ++i) {
    if (kTable[i].key != static_cast<Key>(i)) return false;
  }
  return true;
}
static_assert(RowsAreInOrder());

constexpr std::array<std::string_view, 6> kLevelNames = {
    "default", "system", "data_centre", "customer", "service", "route"};

constexpr std::array<std::string_view, 2> kSendingPolicies = {"owner",
                                                              "direct"};

}  // namespace

std::string_view LevelName(Level level) {
  return kLevelNames[static_cast<size_t>(level)];
}

std::span<const KeyRow> KeyTable() { return kTable; }

const KeyRow& RowOf(Key key) { return kTable[static_cast<size_t>(key)]; }

const KeyRow* FindRow(std::string_view name) {
  const auto it = std::find_if(kTable.begin(), kTable.end(),
                               [&](auto& row) { return row.name == name; });
  return it == kTable.end() ? nullptr : &*it;
}

std::span<const std::string_view> ChoicesOf(Key key) {
  if (key == Key::kSendingPolicy) return kSendingPolicies;
  return {};
}

bool IsAllowedAt(const KeyRow& row, Level level) {
  return (row.levels & Bit(level)) != 0;
}

}  // namespace hibiscuspick::settings
