// Evidence about servers: recorded from own attempts, merged from other
// senders, and used for the choice of servers.
#include <algorithm>
#include <map>
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {
namespace {

// Fewer servers, or a single shard, are known from own attempts soon enough.
constexpr size_t kMinServers = 3;
constexpr size_t kMinServices = 2;

// The prior is computed from all servers of the group: some 20 us for 270.
constexpr Millis kPriorInterval{50};
constexpr Millis kNeverComputed{-1e9};

// An abandoned attempt counts as overdue after this time, which is longer than
// the usual pauses of servers, and after twice the time that makes its server
// suspect.
constexpr Millis kOverdueAge{250};
constexpr double kOverdueFactor = 2;

// If this share of the servers of another data centre look bad, the path to it
// may be at fault.
constexpr double kPathShare = 0.8;

}  // namespace

void Backends::SetShardSet(const ServiceId& budget_service,
                           const std::vector<ServiceId>& shards) {
  auto& group = evidence_groups_[budget_service];
  if (!group) group = std::make_shared<EvidenceGroup>();
  group->services.clear();
  group->prior_at = kNeverComputed;
  for (const auto& it : shards) {
    auto& state = StateOf(it);
    state.evidence_group = group;
    group->services.push_back(&state);
  }
}

engine::EvidencePrior Backends::PriorOf(const ServiceState& state) {
  if (!evidence_active_ || !state.evidence_group) return {};
  auto& group = *state.evidence_group;
  if (loop_->now() - group.prior_at < kPriorInterval) return group.prior;
  group.prior_at = loop_->now();
  std::vector<const engine::ServerEvidence*> all;
  for (const auto* service : group.services) {
    for (const auto& it : service->servers) all.push_back(&it->view.evidence);
  }
  const bool is_shard_set =
      group.services.size() >= kMinServices && all.size() >= kMinServers;
  group.prior = is_shard_set ? engine::ComputePrior(all, loop_->now())
                             : engine::EvidencePrior();
  return group.prior;
}

// A bad server that is due for a probe, if this is a first attempt of a fan-out
// that can spare the part.
Backends::Server* Backends::ChooseProbe(const AttemptSpec& spec,
                                        const std::vector<Server*>& servers,
                                        const engine::ChoicePolicy& choice) {
  if (!choice.evidence.active || spec.not_idempotent ||
      !spec.excluded.empty()) {
    return nullptr;
  }
  auto& group = *StateOf(spec.service).evidence_group;
  if (!group.may_probe) return nullptr;
  const Millis now = loop_->now();
  for (auto* it : servers) {
    if (!engine::CanAcceptAttempt(it->view, choice, now) ||
        !engine::IsProbeDue(it->view.evidence, choice.evidence,
                            evidence_random_.Fraction(), now)) {
      continue;
    }
    group.may_probe = false;
    it->view.evidence.probed_at = now;
    return it;
  }
  return nullptr;
}

void Backends::RecordFanOut(const ServiceId& budget_service, size_t parts,
                            size_t received, size_t needed) {
  const auto found = evidence_groups_.find(budget_service);
  if (!evidence_active_ || found == evidence_groups_.end()) return;
  auto& group = *found->second;
  engine::RecordMissing(&group.missing, static_cast<double>(parts - received));
  group.may_probe = engine::CanSpareProbe(group.missing, parts, needed);
}

void Backends::RecordEvidence(const AttemptResult& result,
                              engine::EvidenceOutcome outcome,
                              double latency_factor) {
  if (!evidence_active_) return;
  engine::RecordOwnOutcome(&result.view->evidence, outcome, latency_factor,
                           loop_->now());
}

void Backends::RecordFailureEvidence(const AttemptResult& result) {
  using engine::EvidenceOutcome;
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  constexpr int kUnavailable = 503;
  const int status = result.reply.status;
  const bool has_reply = result.end == AttemptEnd::kReply;
  // Other errors are the request's fault.
  if (has_reply && status != kTooManyRequests && status < kFirstServerError) {
    return;
  }
  const bool refused =
      has_reply && (status == kUnavailable || status == kTooManyRequests);
  RecordEvidence(
      result, refused ? EvidenceOutcome::kRefused : EvidenceOutcome::kLost, 0);
}

void Backends::RecordIfOverdue(const Attempt& attempt) {
  const Millis age = loop_->now() - attempt.sent_at;
  if (!evidence_active_ || !attempt.was_sent || age < kOverdueAge ||
      age < attempt.spec.overdue_after * kOverdueFactor) {
    return;
  }
  engine::RecordOwnOutcome(&attempt.server->view.evidence,
                           engine::EvidenceOutcome::kOverdue, 0, loop_->now());
}

// Whether this instance may lack the path to the server's data centre, which
// says nothing about the server to senders elsewhere.
bool Backends::IsPathSuspected(const Server& server) const {
  const auto& data_centre = server.view.entry.data_centre;
  if (data_centre == policy_.choice.own_data_centre) return false;
  if (prober_->IsUnreachable(data_centre)) return true;
  size_t known = 0;
  size_t bad = 0;
  for (const auto& [id, it] : servers_) {
    const auto& view = it->view;
    if (view.removed || view.entry.data_centre != data_centre ||
        loop_->now() - view.evidence.own_outcome_at > engine::kEvidenceTtl) {
      continue;
    }
    ++known;
    bad += it->believed_bad || view.unreachable ? 1 : 0;
  }
  return known >= kMinServers &&
         static_cast<double>(bad) >= kPathShare * static_cast<double>(known);
}

std::vector<engine::EvidenceReport> Backends::TakeEvidence() {
  LogBeliefs();
  std::vector<engine::EvidenceReport> reports;
  std::map<DataCentreId, bool> path_suspected;
  for (const auto& [id, server] : servers_) {
    const size_t before = reports.size();
    engine::CollectOwnReports(&server->view.evidence, loop_->now(), &reports);
    if (reports.size() == before) continue;
    const auto& entry = server->view.entry;
    auto path = path_suspected.find(entry.data_centre);
    if (path == path_suspected.end()) {
      path = path_suspected.emplace(entry.data_centre, IsPathSuspected(*server))
                 .first;
    }
    if (path->second) reports.resize(before);
    for (size_t i = before; i < reports.size(); ++i) {
      reports[i].server = engine::EvidenceKey(entry.id, entry.incarnation);
    }
  }
  return reports;
}

std::vector<engine::EvidenceReport> Backends::AllEvidence() {
  std::vector<engine::EvidenceReport> reports;
  for (const auto& [id, server] : servers_) {
    const size_t before = reports.size();
    engine::CollectAllReports(server->view.evidence, loop_->now(), &reports);
    const auto& entry = server->view.entry;
    for (size_t i = before; i < reports.size(); ++i) {
      reports[i].server = engine::EvidenceKey(entry.id, entry.incarnation);
    }
  }
  return reports;
}

void Backends::MergeEvidence(
    const std::vector<engine::EvidenceReport>& reports) {
  if (keys_generation_ != generation_) {
    keys_generation_ = generation_;
    servers_by_key_.clear();
    for (const auto& [id, server] : servers_) {
      const auto& entry = server->view.entry;
      servers_by_key_[engine::EvidenceKey(entry.id, entry.incarnation)] =
          server;
    }
  }
  for (const auto& it : reports) {
    const auto found = servers_by_key_.find(it.server);
    if (found == servers_by_key_.end()) continue;
    const auto server = found->second.lock();
    if (server) {
      engine::MergeReport(&server->view.evidence, it, loop_->now());
    }
  }
  for (const auto& [id, group] : evidence_groups_) {
    group->prior_at = kNeverComputed;
  }
  LogBeliefs();
}

// Logs each server whose belief has changed, with the evidence and its age.
void Backends::LogBeliefs() {
  const Millis now = loop_->now();
  for (const auto& [id, server] : servers_) {
    const auto& entry = server->view.entry;
    const auto& group = StateOf(entry.service).evidence_group;
    if (!group) continue;
    const auto& evidence = server->view.evidence;
    const double belief = engine::BadBelief(evidence, group->prior, now);
    const bool is_bad = belief >= engine::kBadBelief;
    if (is_bad == server->believed_bad) continue;
    server->believed_bad = is_bad;
    const uint64_t suppressed = belief_lines_.left_out;
    if (!TakeLine(&belief_lines_, now)) continue;
    if (suppressed > 0) {
      Log(Part::kBackend).info("{} lines about beliefs suppressed", suppressed);
      belief_lines_.left_out = 0;
    }
    Log(Part::kBackend)
        .info(
            "server {} of service {} believed {}: probability of being bad "
            "{:.2f}, own evidence {:.1f} aged {:.0f} ms, others' {:.1f} aged "
            "{:.0f} ms, prior {:.1f}",
            id.text, entry.service.text, is_bad ? "bad" : "well", belief,
            evidence.own.log_odds, (now - evidence.own_outcome_at).count,
            evidence.others.log_odds, (now - evidence.others_outcome_at).count,
            group->prior.log_odds);
  }
}

}  // namespace hibiscuspick::edge
