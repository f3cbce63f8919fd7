#include "executor_group.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::dispatch {
namespace {

// Each group has its own range of 2^40 attempt ids.
constexpr int kGroupShift = 40;

// Interval of repeated aborts, for requests that had not begun at the first.
constexpr Millis kAbortRetryInterval{20};

FinishedJob Cancelled(Job job) {
  FinishedJob finished;
  finished.outcome.shard = job.shard;
  finished.outcome.code = Code::kCancelled;
  finished.job = std::move(job);
  return finished;
}

ServerMetrics ServerMetricsOf(const limits::ServerState& server) {
  ServerMetrics metrics;
  metrics.server = server.config.id;
  metrics.slots = server.config.slots;
  metrics.in_flight = server.in_flight;
  metrics.abandoned = server.abandoned;
  metrics.ejected = server.ejected;
  metrics.draining = !limits::AcceptsNewWork(server, SteadyNow());
  metrics.latency = server.latency;
  metrics.held = server.held;
  return metrics;
}

}  // namespace

ExecutorGroup::ExecutorGroup(ServiceId service, uint64_t number, uint64_t seed,
                             http::ConnectionLimits limits,
                             ConnectionCounters* counters)
    : service_(std::move(service)),
      limits_(limits),
      counters_(counters),
      random_(seed + number) {
  state_.next_attempt = (number << kGroupShift) + 1;
}

template <class Event>
void ExecutorGroup::Handle(Effects* effects, Event event) {
  limits::Actions actions;
  event(SteadyNow(), &actions);
  Collect(std::move(actions), effects);
  effects->due = limits::NextDue(state_);
}

Effects ExecutorGroup::Apply(const GroupConfig& config) {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    limits::Configure(&state_, config.service.backend_servers, config.drained,
                      config.policy, now, &random_, actions);
    MakePools();
  });
  return effects;
}

Effects ExecutorGroup::Retire() {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    limits::Configure(&state_, {}, {}, state_.policy, now, &random_, actions);
  });
  return effects;
}

Effects ExecutorGroup::Add(std::vector<std::pair<limits::NewTask, Job>> tasks) {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    for (auto& it : tasks) {
      jobs_.emplace(it.first.task, std::move(it.second));
      limits::AddTask(&state_, it.first, now, &random_, actions);
    }
  });
  return effects;
}

Effects ExecutorGroup::Cancel(const std::vector<TaskId>& tasks) {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    for (const TaskId it : tasks) jobs_.erase(it);
    limits::CancelTasks(&state_, tasks, now, &random_, actions);
  });
  return effects;
}

Effects ExecutorGroup::ApplyDrainReport(const BackendServerId& server,
                                        Incarnation incarnation,
                                        bool draining) {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    limits::ApplyDrainReport(&state_, server, incarnation, draining, now,
                             &random_, actions);
  });
  return effects;
}

Effects ExecutorGroup::Tick() {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    limits::Tick(&state_, now, &random_, actions);
  });
  return effects;
}

Effects ExecutorGroup::ConfirmCancel(AttemptId attempt) {
  const std::lock_guard lock(mutex_);
  Effects effects;
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    limits::ConfirmCancel(&state_, attempt, now, &random_, actions);
  });
  return effects;
}

bool ExecutorGroup::MayStart(
    AttemptId attempt, const std::shared_ptr<http::Connection>& connection,
    Effects* effects) {
  const std::lock_guard lock(mutex_);
  bool may_start = false;
  Handle(effects, [&](Millis now, limits::Actions* actions) {
    may_start = limits::MayStart(&state_, attempt, now, &random_, actions);
  });
  if (may_start) running_[attempt].connection = connection;
  return may_start;
}

Effects ExecutorGroup::Finish(const limits::AttemptReport& report,
                              ReplyContent content) {
  const std::lock_guard lock(mutex_);
  Effects effects;
  running_.erase(report.attempt);
  ++attempts_by_code_[report.code];
  if (report.code == Code::kOk) latency_(report.latency.count);
  content_ = std::move(content);
  Handle(&effects, [&](Millis now, limits::Actions* actions) {
    limits::FinishAttempt(&state_, report, now, &random_, actions);
  });
  content_ = {};
  return effects;
}

std::vector<FinishedJob> ExecutorGroup::CancelAll(Effects* effects) {
  const std::lock_guard lock(mutex_);
  std::vector<FinishedJob> finished;
  Handle(effects, [&](Millis now, limits::Actions* actions) {
    std::vector<TaskId> tasks;
    for (auto& it : jobs_) {
      tasks.push_back(it.first);
      finished.push_back(Cancelled(std::move(it.second)));
    }
    jobs_.clear();
    limits::CancelTasks(&state_, tasks, now, &random_, actions);
  });
  return finished;
}

void ExecutorGroup::BeginControl(
    const std::shared_ptr<http::Connection>& connection, Millis until) {
  const std::lock_guard lock(mutex_);
  control_[connection] = until;
}

void ExecutorGroup::EndControl(
    const std::shared_ptr<http::Connection>& connection) {
  const std::lock_guard lock(mutex_);
  control_.erase(connection);
}

Millis ExecutorGroup::AbortOverdue(Millis now) {
  std::vector<std::shared_ptr<http::Connection>> overdue;
  Millis again = kNever;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& it : running_) {
      if (it.second.aborted) overdue.push_back(it.second.connection);
    }
    for (const auto& it : control_) {
      if (it.second <= now) {
        overdue.push_back(it.first);
      } else {
        again = Min(again, it.second);
      }
    }
  }
  for (const auto& it : overdue) it->Abort();
  return overdue.empty() ? again : Min(again, now + kAbortRetryInterval);
}

bool ExecutorGroup::AbortRunning() {
  std::vector<std::shared_ptr<http::Connection>> running;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& it : running_) running.push_back(it.second.connection);
    for (const auto& it : control_) running.push_back(it.first);
  }
  for (const auto& it : running) it->Abort();
  return !running.empty();
}

bool ExecutorGroup::IsIdle() {
  const std::lock_guard lock(mutex_);
  return jobs_.empty() && running_.empty() && control_.empty();
}

bool ExecutorGroup::HasServer(const BackendServerId& server) {
  const std::lock_guard lock(mutex_);
  return std::any_of(
      state_.servers.begin(), state_.servers.end(),
      [&](auto& it) { return !it.removed && it.config.id == server; });
}

GroupMetrics ExecutorGroup::Metrics() {
  const std::lock_guard lock(mutex_);
  GroupMetrics metrics;
  metrics.service = service_;
  metrics.counters = state_.counters;
  metrics.slots_in_use = limits::SlotsInUse(state_);
  metrics.waiting = limits::CountWaiting(state_.queues);
  for (const auto& it : state_.servers) {
    if (it.removed) continue;
    metrics.servers.push_back(ServerMetricsOf(it));
    if (it.ejected) ++metrics.ejected;
    if (metrics.servers.back().draining) ++metrics.draining;
  }
  metrics.attempts_by_code = attempts_by_code_;
  metrics.latency = latency_;
  return metrics;
}

void ExecutorGroup::Collect(limits::Actions actions, Effects* effects) {
  for (auto& action : actions) {
    std::visit([&](auto& it) { CollectOne(it, effects); }, action);
  }
}

void ExecutorGroup::CollectOne(const limits::StartAttempt& start,
                               Effects* effects) {
  // The attempt was started and abandoned by the same event; MayStart would
  // refuse it.
  const auto job = jobs_.find(start.task);
  if (job == jobs_.end()) return;
  effects->starts.push_back({start.attempt, job->second,
                             state_.servers[start.server].config.id,
                             start.deadline, pools_[start.server]});
}

void ExecutorGroup::CollectOne(const limits::Preconnect& preconnect,
                               Effects* effects) {
  effects->preconnects.push_back(pools_[preconnect.server]);
}

void ExecutorGroup::CollectOne(const limits::Decision& decision,
                               Effects* effects) {
  if (!IsLogged(decision)) return;
  LoggedDecision logged;
  logged.decision = decision;
  if (decision.server < state_.servers.size()) {
    logged.server = state_.servers[decision.server].config.id;
  }
  const auto job = jobs_.find(decision.task);
  if (job != jobs_.end()) logged.shard = job->second.shard;
  effects->decisions.push_back(std::move(logged));
}

void ExecutorGroup::CollectOne(const limits::TaskDone& done, Effects* effects) {
  const auto it = jobs_.find(done.task);
  if (it == jobs_.end()) return;
  FinishedJob finished;
  finished.job = std::move(it->second);
  jobs_.erase(it);
  limits::ShardOutcome& outcome = finished.outcome;
  outcome.shard = finished.job.shard;
  outcome.code = done.code;
  outcome.ran = done.ran;
  outcome.attempts = done.attempts;
  outcome.held = done.held;
  if (done.code == Code::kOk) outcome.hits = std::move(content_.hits);
  finished.body = std::move(content_.body);
  effects->finished.push_back(std::move(finished));
}

void ExecutorGroup::CollectOne(const limits::CancelAttempt& cancel,
                               Effects* effects) {
  effects->cancels.push_back({cancel.attempt, pools_[cancel.server]});
  const auto it = running_.find(cancel.attempt);
  if (it == running_.end()) return;
  it->second.aborted = true;
  effects->aborts.push_back(it->second.connection);
}

void ExecutorGroup::MakePools() {
  pools_.resize(state_.servers.size());
  for (size_t i = 0; i < pools_.size(); ++i) {
    const auto& server = state_.servers[i];
    if (!pools_[i] || pools_[i]->address() != server.config.address) {
      pools_[i] = std::make_shared<ConnectionPool>(server.config.address,
                                                   limits_, counters_);
    }
    pools_[i]->Configure(limits::ConnectionShare(server, state_.policy),
                         state_.policy.connections.connect_timeout);
  }
}

}  // namespace hibiscuspick::dispatch
