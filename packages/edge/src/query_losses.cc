// Servers that end under a request, and whether it may be sent to others.
#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_run.h"
#include "hibiscuspick/edge/request_quarantine.h"

namespace hibiscuspick::edge {

using engine::SendDecision;

engine::SendState QueryRun::SendStateNow(AttemptId except) const {
  engine::SendState state;
  const auto* record = context_->quarantine->Find(fingerprint_);
  state.own_ends = ended_servers_.size();
  state.all_ends = std::max(state.own_ends, record ? record->ends.size() : 0);
  state.unconfirmed = unconfirmed_ends_;
  if (state.all_ends + state.unconfirmed == 0) return state;
  state.survivors = survivors_;
  state.canary_window = canary_window_;
  state.repeat_ended = repeat_ended_;
  state.refused = context_->quarantine->TreatmentOf(fingerprint_).kind ==
                  engine::Treatment::Kind::kRefuse;
  state.undecided = context_->quarantine->IsUndecided(fingerprint_);
  state.is_fan_out = parts_.size() > 1;
  state.is_partial = !shard_indices_.empty();
  const Millis late_before =
      context_->loop->now() - route_latency_->hedge_after;
  for (const auto& part : parts_) {
    state.open += part.relayed ? 1 : 0;
    state.open_in_time += part.relayed ? 1 : 0;
    for (const auto& it : part.open) {
      if (it.id == except) continue;
      ++state.open;
      state.open_in_time += it.started_at > late_before ? 1 : 0;
      state.canaries_open += it.is_canary ? 1 : 0;
    }
  }
  return state;
}

bool QueryRun::MaySend(size_t i, bool may_have_run) {
  switch (engine::DecideSend(SendStateNow())) {
    case SendDecision::kSend:
      return true;
    case SendDecision::kWait:
      HoldPart(&parts_[i], may_have_run);
      return false;
    case SendDecision::kStop:
      parts_[i].failed = true;
      return false;
  }
  return false;
}

bool QueryRun::MayHedgeNow() const {
  return engine::DecideSend(SendStateNow()) == SendDecision::kSend;
}

// Without a reservation, hedges that come due meanwhile use up the budget.
void QueryRun::HoldPart(Part* part, bool may_have_run) {
  if (part->held) return;
  const bool is_extra = may_have_run || part->refusals > 0;
  part->held = {
      may_have_run,
      is_extra && context_->backends->ReserveExtraAttempt(budget_service_)};
}

bool QueryRun::ReleasePart(Part* part) {
  const HeldPart held = *part->held;
  part->held.reset();
  if (held.reserved) context_->backends->ReleaseExtraAttempt(budget_service_);
  return held.may_have_run;
}

void QueryRun::ReleaseHeldParts() {
  for (size_t i = 0; i < parts_.size(); ++i) {
    auto& part = parts_[i];
    if (!part.held) continue;
    if (part.IsOver()) {
      ReleasePart(&part);
      continue;
    }
    if (engine::DecideSend(SendStateNow()) == SendDecision::kWait) return;
    const bool may_have_run = ReleasePart(&part);
    if (may_have_run || part.refusals > 0) {
      RetryPart(i, may_have_run);
    } else {
      StartPart(i);
    }
  }
}

bool QueryRun::IsCanary(const Part& part) const {
  if (part.connection_lost) return true;
  const auto* record = context_->quarantine->Find(fingerprint_);
  if (record == nullptr) return false;
  if (record->ends.size() >= engine::kMaxServerEnds) return true;
  const uint64_t service = engine::ServiceKey(part.service);
  return std::any_of(record->ends.begin(), record->ends.end(),
                     [&](auto& it) { return it.service == service; });
}

bool QueryRun::AdmitUnlessQuarantined() {
  const auto treatment = context_->quarantine->TreatmentOf(fingerprint_);
  if (treatment.kind != engine::Treatment::Kind::kRefuse) return true;
  Fail(QueryFault::kQuarantined);
  return false;
}

void QueryRun::SortCanaries(std::vector<size_t>* parts) const {
  const auto* record = context_->quarantine->Find(fingerprint_);
  if (record == nullptr) return;
  std::stable_partition(parts->begin(), parts->end(), [&](size_t i) {
    const uint64_t service = engine::ServiceKey(parts_[i].service);
    return std::any_of(record->ends.begin(), record->ends.end(),
                       [&](auto& it) { return it.service == service; });
  });
}

void QueryRun::AddOwnEnd(const engine::ServerEnd& end) {
  const bool known = std::find(ended_servers_.begin(), ended_servers_.end(),
                               end.server) != ended_servers_.end();
  if (!known) ended_servers_.push_back(end.server);
}

void QueryRun::OnConnectionLost(size_t i, const AttemptResult& result) {
  auto& part = parts_[i];
  const bool is_canary =
      std::any_of(part.open.begin(), part.open.end(),
                  [&](auto& it) { return it.id == result.id && it.is_canary; });
  part.connection_lost = true;
  ++unconfirmed_ends_;
  const auto& entry = result.view->entry;
  const engine::ServerEnd end{engine::EvidenceKey(entry.id, entry.incarnation),
                              engine::ServiceKey(entry.service), false};
  context_->backends->CheckServer(
      result, request_id_,
      [self = shared_from_this(), i, end, server = result.server,
       is_canary](const ServerCheck& check) {
        self->OnServerChecked(i, end, server, is_canary, check);
      });
}

void QueryRun::OnServerChecked(size_t i, const engine::ServerEnd& end,
                               const BackendServerId& server, bool is_canary,
                               const ServerCheck& check) {
  auto& quarantine = *context_->quarantine;
  auto& part = parts_[i];
  --unconfirmed_ends_;
  quarantine.CountLostConnection(check.fate);
  if (check.fate == ServerFate::kEnded) {
    // The attempt may have begun before it was known that a server had ended.
    const bool is_repeat =
        is_canary &&
        (part.server_ended || quarantine.Find(fingerprint_) != nullptr);
    part.server_ended = true;
    repeat_ended_ = repeat_ended_ || is_repeat;
    AddOwnEnd(end);
    quarantine.RecordEnd(
        fingerprint_,
        {{end.server, end.service, check.alone}, survivors_, is_repeat},
        {route_->id, request_id_, server, route_->gather.has_value()});
  } else if (!part.server_ended) {
    part.connection_lost = false;
  }
  DecideQuarantine();
  Advance();
}

// Ends have another explanation only if it is known how all attempts ended.
void QueryRun::DecideQuarantine() {
  const auto state = SendStateNow();
  if (state.own_ends < engine::kMaxServerEnds || state.open > 0 ||
      state.unconfirmed > 0) {
    return;
  }
  context_->quarantine->CheckBystanders(
      fingerprint_, [self = shared_from_this()] { self->Advance(); });
}

bool QueryRun::IsServerCheckPending() const {
  const auto state = SendStateNow();
  return state.unconfirmed > 0 || state.undecided ||
         (state.own_ends > 0 && state.survivors == 0 && state.open_in_time > 0);
}

void QueryRun::OnServerSurvived(size_t i, bool is_canary) {
  ++survivors_;
  if (is_canary) canary_window_ *= engine::kCanaryGrowth;
  context_->quarantine->RecordSurvivor(fingerprint_, parts_[i].service);
}

// A request that was answered without the end of a server is harmless.
void QueryRun::RecordServed() {
  if (!shard_indices_.empty()) return;
  auto& quarantine = *context_->quarantine;
  quarantine.RecordServed(fingerprint_);
  if (ended_servers_.empty() && quarantine.Find(fingerprint_) != nullptr) {
    quarantine.Clear(fingerprint_, "served");
  }
}

void QueryRun::AddPeerEnds(const std::vector<size_t>& shards,
                           const PeerAnswer& answer) {
  const auto ends = context_->quarantine->TakeReport(answer.quarantine_report);
  for (const auto& end : ends) {
    AddOwnEnd(end);
    for (const size_t i : shards) {
      if (engine::ServiceKey(parts_[i].service) != end.service) continue;
      parts_[i].server_ended = true;
      parts_[i].connection_lost = true;
    }
  }
}

}  // namespace hibiscuspick::edge
