#include "hibiscuspick/edge/account_metrics.h"

#include <algorithm>
#include <string_view>

#include "hibiscuspick/metrics/registry.h"

namespace hibiscuspick::edge {
namespace {

constexpr size_t kMaxNamed = 10;
constexpr Millis kRankInterval{10000};
constexpr double kLoadDecay = 0.5;
// An account is forgotten when its load has decayed below this, four minutes
// after 10,000 requests.
constexpr double kMinLoad = 0.001;

constexpr std::array<std::string_view, kAccountEventCount> kEventNames = {
    "admitted", "above_allowance", "allowance_unknown", "no_capacity", "late"};

constexpr const char* kEventsName = "hibiscuspick_edge_account_requests_total";
constexpr const char* kEventsHelp =
    "Requests of client accounts, by what happened to them";

metrics::Labels EventLabels(const std::string& account, size_t event) {
  return {{"account", account}, {"event", std::string(kEventNames[event])}};
}

}  // namespace

void AccountMetrics::Count(const ClientAccountId& account, AccountEvent event,
                           Millis now) {
  if (now - ranked_at_ >= kRankInterval) Rank(now);
  auto& it = accounts_[account];
  const bool is_arrival =
      event != AccountEvent::kNoCapacity && event != AccountEvent::kLate;
  if (is_arrival) it.load += 1;
  // Named before the next ranking only while there is room.
  if (!it.is_named && named_count_ < kMaxNamed) {
    it.is_named = true;
    ++named_count_;
  }
  auto& counts = it.is_named ? it.counts : other_counts_;
  ++counts[static_cast<size_t>(event)];
}

void AccountMetrics::Rank(Millis now) {
  ranked_at_ = now;
  for (auto& [id, it] : accounts_) it.load *= kLoadDecay;
  std::erase_if(accounts_,
                [](const auto& it) { return it.second.load < kMinLoad; });
  std::vector<Account*> by_load;
  by_load.reserve(accounts_.size());
  for (auto& [id, it] : accounts_) by_load.push_back(&it);
  named_count_ = std::min(kMaxNamed, by_load.size());
  std::partial_sort(by_load.begin(),
                    by_load.begin() + static_cast<std::ptrdiff_t>(named_count_),
                    by_load.end(),
                    [](auto* a, auto* b) { return a->load > b->load; });
  for (size_t i = 0; i < by_load.size(); ++i) {
    by_load[i]->is_named = i < named_count_;
  }
}

std::string AccountMetrics::Text(const TokensHeld& tokens_held) const {
  if (accounts_.empty()) return "";
  metrics::Registry registry;
  double other_tokens = 0;
  for (const auto& [id, it] : accounts_) {
    const double tokens = tokens_held(id);
    if (!it.is_named) {
      other_tokens += tokens;
      continue;
    }
    for (size_t event = 0; event < kAccountEventCount; ++event) {
      registry.GetCounter(kEventsName, kEventsHelp, EventLabels(id.text, event))
          .Add(it.counts[event]);
    }
    registry.AddGauge("hibiscuspick_edge_account_tokens",
                      "Tokens held for client accounts", {{"account", id.text}},
                      [tokens] { return tokens; });
  }
  // The empty name can't be that of an account.
  const std::string others;
  for (size_t event = 0; event < kAccountEventCount; ++event) {
    registry.GetCounter(kEventsName, kEventsHelp, EventLabels(others, event))
        .Add(other_counts_[event]);
  }
  registry.AddGauge("hibiscuspick_edge_account_tokens",
                    "Tokens held for client accounts", {{"account", others}},
                    [other_tokens] { return other_tokens; });
  return registry.PrometheusText();
}

}  // namespace hibiscuspick::edge
