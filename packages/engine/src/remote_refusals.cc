#include "hibiscuspick/engine/remote_refusals.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

constexpr Millis kCleanInterval{10000};

}  // namespace

void RecordRemoteRefusal(RemoteRefusals* refusals, const TokenGrant& refusal,
                         const EntryInstances& instances, Millis now) {
  if (now - refusals->cleaned_at >= kCleanInterval) {
    refusals->cleaned_at = now;
    std::erase_if(refusals->accounts, [&](const auto& it) {
      return it.second.refuse_until <= now;
    });
  }
  if (refusal.refuse_for <= Millis(0)) return;
  auto& it = refusals->accounts[refusal.account];
  const bool is_new = it.refuse_until <= now;
  it.told_at = now;
  it.refuse_until = Max(it.refuse_until, now + refusal.refuse_for);
  // Reports of queries that were forwarded together don't start the places
  // again.
  if (!is_new) return;
  const double part = static_cast<double>(instances.rank) /
                      static_cast<double>(std::max<size_t>(instances.count, 1));
  it.spacing = refusal.refused_spacing;
  it.next_place = now + refusal.retry_after + it.spacing * part;
}

std::optional<EarlyRefusal> RefuseEarly(RemoteRefusals* refusals,
                                        const ClientAccountId& account,
                                        Millis now) {
  const auto found = refusals->accounts.find(account);
  if (found == refusals->accounts.end() || found->second.refuse_until <= now) {
    return std::nullopt;
  }
  auto& it = found->second;
  const Millis place = Max(it.next_place, it.refuse_until);
  it.next_place = place + it.spacing;
  return EarlyRefusal{place - now, now - it.told_at};
}

}  // namespace hibiscuspick::engine
