// Messages to counting instances and loans of allowance_lease.h.
#include <algorithm>
#include <cmath>
#include <utility>

#include "allowance_lease_internal.h"
#include "decaying_rate.h"
#include "hibiscuspick/engine/allowance_pool.h"
#include "hibiscuspick/engine/counting_instance.h"

namespace hibiscuspick::engine {
namespace {

// Tokens are asked for ahead for this time. More would be unused too long and
// would count against the tolerance.
constexpr Millis kAheadTime{40};
// A peer that isn't chosen or has failed is tried again at this interval.
constexpr Millis kProbeInterval{200};
// Unused tokens go back within this time.
constexpr Millis kReturnDelay{50};
// An account without requests for so long is forgotten.
constexpr Millis kForgetTime{10000};
// Lists that loans may follow at once. More changes than that wait until an old
// list has ended.
constexpr size_t kMaxLists = 6;

// Instances that are asked for a request, besides the own one.
constexpr size_t kAskedInstances = 2;

// What goes to one counting instance with the next message.
using Batches = std::map<InstanceId, std::vector<TokenRequest>>;

std::vector<InstanceId> CurrentList(const AllowanceLeases& leases) {
  if (leases.candidate_lists.empty()) return {};
  return leases.candidate_lists.back();
}

bool IsSilent(const CountingPeer& peer, Millis now) {
  return peer.silent_since >= Millis(0) &&
         now >= peer.silent_since + kSilenceTime;
}

// A peer may still hold a loan that follows an older list.
bool MayFollowOldLists(const AllowanceLeases& leases, const CountingPeer& peer,
                       Millis now) {
  return peer.confirmed_lists < leases.lists_version && now < peer.loan_ends_at;
}

// Loans follow a change at once: until then a share is lent by the old lists,
// or more is lent than the present share.
void RenewLoans(AllowanceLeases* leases, Millis now) {
  ++leases->lists_version;
  for (auto& [id, peer] : leases->peers) peer.next_message_at = now;
}

// Chooses the candidates, and drops old lists that no loan follows any more.
void UpdateLists(AllowanceLeases* leases, Millis now) {
  std::vector<InstanceId> wanted;
  for (const auto& it : leases->context.candidates) {
    const auto peer = leases->peers.find(it);
    if (peer == leases->peers.end() || !IsSilent(peer->second, now)) {
      wanted.push_back(it);
    }
  }
  if (wanted.empty()) wanted.push_back(leases->context.own);
  auto& lists = leases->candidate_lists;
  if (lists.size() > 1) {
    const bool is_followed = std::any_of(
        leases->peers.begin(), leases->peers.end(),
        [&](auto& it) { return MayFollowOldLists(*leases, it.second, now); });
    if (!is_followed) {
      lists.erase(lists.begin(), lists.end() - 1);
      RenewLoans(leases, now);
    }
  }
  if (CurrentList(*leases) == wanted || lists.size() >= kMaxLists) return;
  lists.push_back(std::move(wanted));
  for (const auto& it : lists.back()) leases->peers[it];
  RenewLoans(leases, now);
}

bool IsListed(const AllowanceLeases& leases, const InstanceId& id) {
  return std::any_of(leases.candidate_lists.begin(),
                     leases.candidate_lists.end(), [&](const auto& list) {
                       return std::find(list.begin(), list.end(), id) !=
                              list.end();
                     });
}

// The peers that messages go to: those of all lists, and candidates that are
// silent, which are probed.
bool IsInUse(const AllowanceLeases& leases, const InstanceId& id) {
  const auto& candidates = leases.context.candidates;
  return std::find(candidates.begin(), candidates.end(), id) !=
             candidates.end() ||
         IsListed(leases, id);
}

// The requests that the message asked for have had no answer: the next counting
// instance is asked.
void MarkUnanswered(AllowanceLeases* leases, const InstanceId& to,
                    uint64_t sequence, Millis now) {
  for (const auto& account : leases->active) {
    auto& state = leases->accounts[account];
    bool was_asked = false;
    for (auto& it : state.waiting) {
      if (it.asked_in != sequence) continue;
      it.asked_in = 0;
      was_asked = true;
    }
    if (!was_asked) continue;
    // The own instance is the last that is asked.
    state.unanswered = to == leases->context.own
                           ? static_cast<int>(kAskedInstances) + 1
                           : state.unanswered + 1;
    state.ask_at = now;
  }
}

void NoteSilence(CountingPeer* peer, Millis now) {
  peer->in_flight = false;
  if (peer->silent_since < Millis(0)) peer->silent_since = peer->sent_at;
  peer->next_message_at = now + kProbeInterval;
}

void CheckTimeouts(AllowanceLeases* leases, Millis now) {
  for (auto& [id, peer] : leases->peers) {
    if (!peer.in_flight || now < peer.sent_at + kAskTimeout) continue;
    NoteSilence(&peer, now);
    MarkUnanswered(leases, id, peer.sequence, now);
  }
}

// The instance to ask for those that wait: the chosen one, the next in hash
// order, then this one; nullptr if none is left. An instance that owes an
// answer isn't asked.
const InstanceId* AskedInstance(const AllowanceLeases& leases,
                                const ClientAccountId& account,
                                const AccountLeases& state,
                                std::vector<InstanceId>* ranked) {
  *ranked = RankCountingInstances(CurrentList(leases), account);
  for (auto i = static_cast<size_t>(state.unanswered);
       i < std::min(ranked->size(), kAskedInstances); ++i) {
    const auto peer = leases.peers.find((*ranked)[i]);
    const bool is_silent =
        peer != leases.peers.end() && peer->second.silent_since >= Millis(0);
    if (!is_silent) return &(*ranked)[i];
  }
  const bool was_asked = state.unanswered > static_cast<int>(kAskedInstances);
  return was_asked ? nullptr : &leases.context.own;
}

// The account's part of the next message; false if there is nothing to send.
bool MakeTokenRequest(const ClientAccountId& account,
                      const AccountLeases& state, Millis now,
                      TokenRequest* request) {
  for (const auto& it : state.waiting) {
    if (it.asked_in != 0) continue;
    request->wanted += 1;
    if (it.is_retry) request->for_retries += 1;
  }
  if (now < state.ask_at) request->wanted = request->for_retries = 0;
  request->account = account;
  request->returned = state.returned;
  request->arrivals = state.arrivals;
  if (request->wanted > 0) {
    const double rate = DecayedRate(state.demand_per_second, state.demand_at,
                                    now, kLeaseDemandTimeConstant);
    request->ahead = std::floor(rate * kAheadTime.count / 1000);
    request->wanted += request->ahead;
  }
  return request->wanted > 0 || request->returned > 0;
}

// Gathers what the accounts ask for, and removes accounts that hold nothing.
Batches GatherRequests(AllowanceLeases* leases, Millis now) {
  Batches batches;
  std::vector<InstanceId> ranked;
  std::erase_if(leases->active, [&](const ClientAccountId& account) {
    auto& state = leases->accounts[account];
    ExpireLeases(&state, now);
    TokenRequest request;
    if (MakeTokenRequest(account, state, now, &request)) {
      const auto* asked = AskedInstance(*leases, account, state, &ranked);
      if (asked != nullptr) {
        batches[*asked].push_back(std::move(request));
      } else {
        RefuseUnanswered(leases, &state);
      }
    }
    state.is_active =
        !state.waiting.empty() || !state.leases.empty() || state.returned > 0;
    return !state.is_active;
  });
  return batches;
}

void MarkAsked(AllowanceLeases* leases, const AllowanceRequest& request) {
  for (const auto& it : request.accounts) {
    auto& state = leases->accounts[it.account];
    state.returned = 0;
    state.arrivals = 0;
    if (it.wanted <= 0) continue;
    for (auto& waiting : state.waiting) {
      if (waiting.asked_in == 0) waiting.asked_in = request.sequence;
    }
  }
}

AllowanceMessage MakeMessage(AllowanceLeases* leases, const InstanceId& to,
                             CountingPeer* peer,
                             std::vector<TokenRequest> accounts, Millis now) {
  AllowanceMessage message;
  message.to = to;
  auto& request = message.request;
  request.from = leases->context.own;
  request.data_centre = leases->context.data_centre;
  request.process = leases->context.process;
  request.sequence = leases->next_sequence++;
  request.config_version = leases->context.config_version;
  request.loan.echo = peer->clock;
  // A loan to a peer of no list ends with this message.
  if (leases->context.instances > 0 && IsListed(*leases, to)) {
    request.loan.instances = static_cast<uint32_t>(leases->context.instances);
    request.loan.candidate_lists = leases->candidate_lists;
    if (peer->clock.process != 0) {
      peer->loan_ends_at = Max(peer->loan_ends_at, peer->clock_at + kLoanTime);
    }
  }
  request.accounts = std::move(accounts);
  peer->in_flight = true;
  peer->sequence = request.sequence;
  peer->sent_lists[request.sequence % peer->sent_lists.size()] = {
      request.sequence, leases->lists_version};
  peer->sent_at = now;
  peer->next_message_at = now + kLoanInterval;
  MarkAsked(leases, request);
  return message;
}

// Sends what is due to each peer that has no message in flight.
void SendMessages(AllowanceLeases* leases, Batches batches, Millis now,
                  LeaseActions* actions) {
  for (const auto& [to, batch] : batches) leases->peers[to];
  for (auto it = leases->peers.begin(); it != leases->peers.end();) {
    auto& [id, peer] = *it;
    const auto batch = batches.find(id);
    const bool has_batch = batch != batches.end();
    if (!has_batch && !peer.in_flight && now >= peer.loan_ends_at &&
        !IsInUse(*leases, id)) {
      it = leases->peers.erase(it);
      continue;
    }
    if (!peer.in_flight) {
      const bool has_old_loan = MayFollowOldLists(*leases, peer, now);
      bool is_due =
          now >= peer.next_message_at && (has_old_loan || IsInUse(*leases, id));
      if (has_batch) {
        const bool is_wanted =
            std::any_of(batch->second.begin(), batch->second.end(),
                        [](auto& request) { return request.wanted > 0; });
        is_due = is_due || is_wanted;
        if (!is_due) {
          peer.next_message_at = Min(peer.next_message_at, now + kReturnDelay);
        }
      }
      if (is_due) {
        actions->messages.push_back(MakeMessage(
            leases, id, &peer,
            has_batch ? std::move(batch->second) : std::vector<TokenRequest>(),
            now));
      }
    }
    ++it;
  }
}

// Removes accounts that have had no request for long.
void ForgetIdle(AllowanceLeases* leases, Millis now) {
  if (now < leases->swept_at + kForgetTime) return;
  leases->swept_at = now;
  std::erase_if(leases->accounts, [&](auto& it) {
    return !it.second.is_active && now >= it.second.demand_at + kForgetTime;
  });
}

// When something is due next, after all that is due at `now` was done.
Millis NextTime(const AllowanceLeases& leases, Millis now) {
  Millis next = kNever;
  const auto add = [&](Millis at) {
    if (at > now) next = Min(next, at);
  };
  for (const auto& [id, peer] : leases.peers) {
    add(peer.in_flight ? peer.sent_at + kAskTimeout : peer.next_message_at);
    add(peer.loan_ends_at);
    if (peer.silent_since >= Millis(0)) add(peer.silent_since + kSilenceTime);
  }
  for (const auto& account : leases.active) {
    const auto& state = leases.accounts.at(account);
    if (!state.leases.empty()) {
      add(state.leases.front().granted_at + kLeaseTime);
    }
    add(state.ask_at);
  }
  return next;
}

}  // namespace

void SetLeaseContext(AllowanceLeases* leases, LeaseContext context,
                     Millis now) {
  std::sort(context.candidates.begin(), context.candidates.end());
  if (context.instances != leases->context.instances) RenewLoans(leases, now);
  leases->context = std::move(context);
  if (leases->context.enabled) UpdateLists(leases, now);
}

bool AreLoansSettled(const AllowanceLeases& leases, Millis now) {
  return std::none_of(leases.peers.begin(), leases.peers.end(), [&](auto& it) {
    return MayFollowOldLists(leases, it.second, now);
  });
}

LeaseActions AdvanceLeases(AllowanceLeases* leases, Millis now) {
  LeaseActions actions;
  if (leases->context.enabled) {
    CheckTimeouts(leases, now);
    UpdateLists(leases, now);
    SendMessages(leases, GatherRequests(leases, now), now, &actions);
    ForgetIdle(leases, now);
    actions.next_at = NextTime(*leases, now);
  }
  actions.outcomes = std::move(leases->outcomes);
  leases->outcomes.clear();
  return actions;
}

void HandleLeaseReply(AllowanceLeases* leases, const AllowanceMessage& sent,
                      const AllowanceReply& reply, Millis now) {
  const uint64_t sequence = sent.request.sequence;
  auto& peer = leases->peers[sent.to];
  if (peer.clock.process != reply.clock.process) peer.next_message_at = now;
  // A reply that comes late may hold an older reading.
  if (peer.clock.process != reply.clock.process ||
      peer.clock.at < reply.clock.at) {
    peer.clock = reply.clock;
    peer.clock_at = now;
  }
  if (peer.sequence == sequence) peer.in_flight = false;
  peer.silent_since = Millis(-1);
  const auto& lists = peer.sent_lists[sequence % peer.sent_lists.size()];
  if (lists.first == sequence) {
    peer.confirmed_lists = std::max(peer.confirmed_lists, lists.second);
  }
  const bool is_own = sent.to == leases->context.own;
  for (const auto& it : reply.accounts) {
    HandleGrant(leases, it, sequence, is_own, now);
  }
  // What the reply has no answer for is asked of the next.
  MarkUnanswered(leases, sent.to, sequence, now);
}

void HandleLeaseFailure(AllowanceLeases* leases, const AllowanceMessage& sent,
                        Millis now) {
  auto& peer = leases->peers[sent.to];
  if (!peer.in_flight || peer.sequence != sent.request.sequence) return;
  NoteSilence(&peer, now);
  MarkUnanswered(leases, sent.to, sent.request.sequence, now);
}

}  // namespace hibiscuspick::engine
