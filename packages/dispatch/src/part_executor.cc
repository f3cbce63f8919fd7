#include "hibiscuspick/dispatch/part_executor.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <thread>
#include <utility>

#include "attempt_runner.h"
#include "decision_log.h"
#include "executor_group.h"
#include "group_timers.h"
#include "hibiscuspick/http/connection_threads.h"

namespace hibiscuspick::dispatch {
namespace {

using GroupPtr = std::shared_ptr<ExecutorGroup>;

// Builds {"query": …, "limit": 20} with the query's text as received.
std::string QueryBody(const limits::PartRequest& part) {
  return "{\"query\":" + part.query +
         ",\"limit\":" + std::to_string(part.limit) + "}";
}

limits::ShardOutcome NoServerOutcome(const ShardId& shard) {
  limits::ShardOutcome outcome;
  outcome.shard = shard;
  outcome.code = Code::kNoServer;
  // Without a group no attempt can have been made.
  outcome.ran = Ran::kNo;
  return outcome;
}

RecordOutcome ToRecordOutcome(FinishedJob finished) {
  const Code code = finished.outcome.code;
  const bool has_answer = code == Code::kOk || code == Code::kRecordFailed;
  return {code, finished.outcome.ran,
          has_answer ? std::move(finished.body) : std::string()};
}

}  // namespace

class PartExecutor::Impl {
 public:
  Impl(ExecutorOptions options, OnDrainReport on_drain_report)
      : options_(std::move(options)),
        on_drain_report_(std::move(on_drain_report)),
        workers_(options_.max_workers),
        timers_([this](const GroupPtr& group) { return OnTimer(group); }) {}

  void Apply(const std::vector<GroupConfig>& configs);
  void Run(const limits::PartRequest& part, OnOutcomes on_outcomes);
  void Cancel(const limits::PartOrigin& origin);
  void ApplyDrainReport(const BackendServerId& server, Incarnation incarnation,
                        bool draining);
  RecordOutcome RunRecord(const RecordRequest& record);
  size_t InFlight() const { return in_flight_; }
  ExecutorMetrics Metrics();
  void Stop();

 private:
  struct GroupTask {
    GroupPtr group;
    TaskId task;
  };
  using TasksByGroup =
      std::map<GroupPtr, std::vector<std::pair<limits::NewTask, Job>>>;

  GroupPtr FindGroup(const ServiceId& service);
  std::vector<GroupPtr> AllGroups();
  GroupPtr MakeGroup(const ServiceId& service);
  // Groups a part's shards by service. Returns failed outcomes for shards of
  // unknown services.
  std::vector<limits::ShardOutcome> GroupByService(
      const limits::PartRequest& part, const std::shared_ptr<PartRun>& run,
      TasksByGroup* tasks);

  // Runs the job on a worker thread, unless stopped.
  void Enqueue(std::function<void()> job);

  // Performs the effects of an event. No lock may be held.
  void Perform(const GroupPtr& group, Effects effects);
  void Deliver(std::vector<FinishedJob> finished);
  void DeliverToPart(const std::shared_ptr<PartRun>& part,
                     std::vector<limits::ShardOutcome> outcomes);
  Millis OnTimer(const GroupPtr& group);

  // These run on worker threads.
  void RunAttempt(const GroupPtr& group, const AttemptSpec& spec);
  void SendCancel(const GroupPtr& group, const CancelSpec& spec);
  void Preconnect(const GroupPtr& group,
                  const std::shared_ptr<ConnectionPool>& pool);
  void BeginControl(const GroupPtr& group,
                    const std::shared_ptr<http::Connection>& connection);

  std::string WireId(AttemptId attempt) const {
    return AttemptWireId(options_.instance, options_.incarnation, attempt);
  }

  const ExecutorOptions options_;
  const OnDrainReport on_drain_report_;
  ConnectionCounters connections_;
  std::atomic<uint64_t> cancels_sent_{0};
  std::atomic<uint64_t> cancels_confirmed_{0};
  std::atomic<uint64_t> last_task_{0};
  std::atomic<size_t> in_flight_{0};
  std::atomic<bool> stopped_{false};

  std::shared_mutex groups_mutex_;
  std::map<ServiceId, GroupPtr> groups_;
  // Groups of removed services that still have running work.
  std::vector<GroupPtr> retired_;
  uint64_t last_group_ = 0;

  std::mutex parts_mutex_;
  std::map<limits::PartOrigin, std::vector<GroupTask>> parts_;

  // Held while enqueuing, so that no thread is added while Stop joins them.
  std::mutex workers_mutex_;
  http::ConnectionThreads workers_;
  GroupTimers timers_;
};

void PartExecutor::Impl::Apply(const std::vector<GroupConfig>& configs) {
  std::set<ServiceId> named;
  for (const auto& it : configs) {
    named.insert(it.service.id);
    const GroupPtr group = MakeGroup(it.service.id);
    Perform(group, group->Apply(it));
  }
  std::vector<GroupPtr> gone;
  {
    const std::unique_lock lock(groups_mutex_);
    for (const auto& it : groups_) {
      if (!named.contains(it.first)) gone.push_back(it.second);
    }
    for (const auto& it : gone) groups_.erase(it->service());
    std::erase_if(retired_, [](auto& it) { return it->IsIdle(); });
    retired_.insert(retired_.end(), gone.begin(), gone.end());
  }
  for (const auto& it : gone) Perform(it, it->Retire());
}

void PartExecutor::Impl::Run(const limits::PartRequest& part,
                             OnOutcomes on_outcomes) {
  if (part.shards.empty()) return;
  const auto run = std::make_shared<PartRun>();
  run->origin = part.origin;
  run->on_outcomes = std::move(on_outcomes);
  run->body = QueryBody(part);
  run->version = part.version;
  run->lane = part.lane;
  run->outstanding = part.shards.size();
  ++in_flight_;
  TasksByGroup tasks;
  auto unknown = GroupByService(part, run, &tasks);
  {
    const std::lock_guard lock(parts_mutex_);
    auto& entry = parts_[part.origin];
    for (const auto& group : tasks) {
      for (const auto& it : group.second) {
        entry.push_back({group.first, it.first.task});
      }
    }
  }
  if (!unknown.empty()) DeliverToPart(run, std::move(unknown));
  for (auto& it : tasks) {
    Perform(it.first, it.first->Add(std::move(it.second)));
  }
}

std::vector<limits::ShardOutcome> PartExecutor::Impl::GroupByService(
    const limits::PartRequest& part, const std::shared_ptr<PartRun>& run,
    TasksByGroup* tasks) {
  std::vector<limits::ShardOutcome> unknown;
  const Millis deadline = SteadyNow() + part.time_left;
  for (const auto& it : part.shards) {
    const GroupPtr group = FindGroup(it.service);
    if (!group) {
      unknown.push_back(NoServerOutcome(it.shard));
      continue;
    }
    limits::NewTask task;
    task.task = TaskId(++last_task_);
    task.lane = part.lane;
    task.deadline = deadline;
    task.servers = it.servers;
    task.version = part.version;
    Job job;
    job.part = run;
    job.shard = it.shard;
    job.version = part.version;
    job.lane = part.lane;
    (*tasks)[group].emplace_back(std::move(task), std::move(job));
  }
  return unknown;
}

void PartExecutor::Impl::Cancel(const limits::PartOrigin& origin) {
  std::map<GroupPtr, std::vector<TaskId>> tasks;
  {
    const std::lock_guard lock(parts_mutex_);
    const auto it = parts_.find(origin);
    if (it == parts_.end()) return;
    for (const auto& task : it->second) {
      tasks[task.group].push_back(task.task);
    }
    parts_.erase(it);
  }
  --in_flight_;
  for (const auto& it : tasks) Perform(it.first, it.first->Cancel(it.second));
}

void PartExecutor::Impl::ApplyDrainReport(const BackendServerId& server,
                                          Incarnation incarnation,
                                          bool draining) {
  for (const auto& it : AllGroups()) {
    if (!it->HasServer(server)) continue;
    Perform(it, it->ApplyDrainReport(server, incarnation, draining));
  }
}

RecordOutcome PartExecutor::Impl::RunRecord(const RecordRequest& record) {
  const GroupPtr group = FindGroup(record.service);
  if (!group) return {Code::kNoServer, Ran::kNo, ""};
  const auto run = std::make_shared<RecordRun>();
  run->key = record.key;
  run->body = record.record;
  limits::NewTask task;
  task.task = TaskId(++last_task_);
  task.lane = record.lane;
  task.deadline = SteadyNow() + record.time_left;
  task.servers = record.servers;
  task.version = record.version;
  task.idempotent = false;
  Job job;
  job.record = run;
  job.shard = record.shard;
  job.version = record.version;
  job.lane = record.lane;
  auto future = run->outcome.get_future();
  ++in_flight_;
  std::vector<std::pair<limits::NewTask, Job>> tasks;
  tasks.emplace_back(std::move(task), std::move(job));
  Perform(group, group->Add(std::move(tasks)));
  return future.get();
}

ExecutorMetrics PartExecutor::Impl::Metrics() {
  ExecutorMetrics metrics;
  for (const auto& it : AllGroups()) metrics.groups.push_back(it->Metrics());
  metrics.connections_opened = connections_.opened;
  metrics.connections_open = connections_.open;
  metrics.cancels_sent = cancels_sent_;
  metrics.cancels_confirmed = cancels_confirmed_;
  return metrics;
}

void PartExecutor::Impl::Stop() {
  {
    const std::lock_guard lock(workers_mutex_);
    if (stopped_.exchange(true)) return;
  }
  auto groups = AllGroups();
  {
    const std::shared_lock lock(groups_mutex_);
    groups.insert(groups.end(), retired_.begin(), retired_.end());
  }
  for (const auto& it : groups) {
    Effects effects;
    auto finished = it->CancelAll(&effects);
    Perform(it, std::move(effects));
    Deliver(std::move(finished));
  }
  timers_.Stop();
  for (const auto& it : groups) {
    while (it->AbortRunning()) std::this_thread::yield();
  }
  workers_.shutdown();
}

GroupPtr PartExecutor::Impl::FindGroup(const ServiceId& service) {
  const std::shared_lock lock(groups_mutex_);
  const auto it = groups_.find(service);
  return it == groups_.end() ? nullptr : it->second;
}

std::vector<GroupPtr> PartExecutor::Impl::AllGroups() {
  const std::shared_lock lock(groups_mutex_);
  std::vector<GroupPtr> all;
  for (const auto& it : groups_) all.push_back(it.second);
  return all;
}

GroupPtr PartExecutor::Impl::MakeGroup(const ServiceId& service) {
  const std::unique_lock lock(groups_mutex_);
  GroupPtr& group = groups_[service];
  if (!group) {
    http::ConnectionLimits limits;
    limits.max_body = options_.max_reply;
    group = std::make_shared<ExecutorGroup>(
        service, ++last_group_, options_.seed, limits, &connections_);
  }
  return group;
}

void PartExecutor::Impl::Enqueue(std::function<void()> job) {
  const std::lock_guard lock(workers_mutex_);
  if (!stopped_) workers_.enqueue(std::move(job));
}

void PartExecutor::Impl::Perform(const GroupPtr& group, Effects effects) {
  timers_.TickBy(group, effects.due);
  for (auto& it : effects.starts) {
    Enqueue([this, group, spec = std::move(it)] { RunAttempt(group, spec); });
  }
  for (const auto& it : effects.decisions) {
    LogDecision(group->service(), it);
  }
  Deliver(std::move(effects.finished));
  if (!effects.aborts.empty()) {
    timers_.TickBy(group, group->AbortOverdue(SteadyNow()));
  }
  for (const auto& it : effects.cancels) {
    Enqueue([this, group, it] { SendCancel(group, it); });
  }
  for (const auto& it : effects.preconnects) {
    Enqueue([this, group, it] { Preconnect(group, it); });
  }
}

void PartExecutor::Impl::Deliver(std::vector<FinishedJob> finished) {
  // One callback per part, since an event often finishes several of its shards.
  std::map<std::shared_ptr<PartRun>, std::vector<limits::ShardOutcome>> parts;
  for (auto& it : finished) {
    if (it.job.part) {
      parts[it.job.part].push_back(std::move(it.outcome));
      continue;
    }
    const auto record = it.job.record;
    --in_flight_;
    record->outcome.set_value(ToRecordOutcome(std::move(it)));
  }
  for (auto& it : parts) DeliverToPart(it.first, std::move(it.second));
}

void PartExecutor::Impl::DeliverToPart(
    const std::shared_ptr<PartRun>& part,
    std::vector<limits::ShardOutcome> outcomes) {
  const size_t n = outcomes.size();
  const bool last = part->outstanding.fetch_sub(n) == n;
  part->on_outcomes(std::move(outcomes));
  if (!last) return;
  const std::lock_guard lock(parts_mutex_);
  // Cancel may have erased it meanwhile.
  if (parts_.erase(part->origin) > 0) --in_flight_;
}

Millis PartExecutor::Impl::OnTimer(const GroupPtr& group) {
  Effects effects = group->Tick();
  const Millis due = effects.due;
  Perform(group, std::move(effects));
  return Min(due, group->AbortOverdue(SteadyNow()));
}

void PartExecutor::Impl::RunAttempt(const GroupPtr& group,
                                    const AttemptSpec& spec) {
  const auto connection =
      spec.job.record ? spec.pool->TakeFresh() : spec.pool->Take();
  Effects effects;
  const bool may_start = group->MayStart(spec.attempt, connection, &effects);
  Perform(group, std::move(effects));
  if (!may_start) {
    spec.pool->Return(connection);
    return;
  }
  AttemptResult result = SendAttempt(spec, WireId(spec.attempt), connection);
  if (result.reusable) {
    spec.pool->Return(connection);
  } else {
    spec.pool->Discard(connection);
  }
  const auto& report = result.report;
  // Reported before the outcome, so that a caller acting on the outcome already
  // has this state.
  if (report.draining || report.incarnation.value != 0) {
    if (on_drain_report_) {
      on_drain_report_(spec.server, report.incarnation, report.draining);
    }
  }
  LogAttempt(spec, result);
  Perform(group, group->Finish(report, std::move(result.content)));
}

void PartExecutor::Impl::SendCancel(const GroupPtr& group,
                                    const CancelSpec& spec) {
  const auto connection = spec.pool->TakeForCancel();
  if (!connection) return;
  ++cancels_sent_;
  BeginControl(group, connection);
  const CancelReply reply = SendCancelRequest(WireId(spec.attempt), connection,
                                              options_.control_timeout);
  group->EndControl(connection);
  if (reply.reusable) {
    spec.pool->Return(connection);
  } else {
    spec.pool->Discard(connection);
  }
  if (!reply.confirmed) return;
  ++cancels_confirmed_;
  Perform(group, group->ConfirmCancel(spec.attempt));
}

void PartExecutor::Impl::BeginControl(
    const GroupPtr& group,
    const std::shared_ptr<http::Connection>& connection) {
  const Millis until = SteadyNow() + options_.control_timeout;
  group->BeginControl(connection, until);
  timers_.TickBy(group, until);
}

void PartExecutor::Impl::Preconnect(
    const GroupPtr& group, const std::shared_ptr<ConnectionPool>& pool) {
  const auto connection = pool->TakeForPreconnect();
  if (!connection) return;
  BeginControl(group, connection);
  const bool is_open = OpenConnection(connection, options_.control_timeout);
  group->EndControl(connection);
  if (is_open) {
    pool->Return(connection);
  } else {
    pool->Discard(connection);
  }
}

PartExecutor::PartExecutor(ExecutorOptions options,
                           OnDrainReport on_drain_report)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   std::move(on_drain_report))) {}

PartExecutor::~PartExecutor() { Stop(); }

void PartExecutor::Apply(const std::vector<GroupConfig>& groups) {
  impl_->Apply(groups);
}

void PartExecutor::Run(const limits::PartRequest& part,
                       OnOutcomes on_outcomes) {
  impl_->Run(part, std::move(on_outcomes));
}

void PartExecutor::Cancel(const limits::PartOrigin& origin) {
  impl_->Cancel(origin);
}

void PartExecutor::ApplyDrainReport(const BackendServerId& server,
                                    Incarnation incarnation, bool draining) {
  impl_->ApplyDrainReport(server, incarnation, draining);
}

RecordOutcome PartExecutor::RunRecord(const RecordRequest& record) {
  return impl_->RunRecord(record);
}

size_t PartExecutor::InFlight() const { return impl_->InFlight(); }

ExecutorMetrics PartExecutor::Metrics() const { return impl_->Metrics(); }

void PartExecutor::Stop() { impl_->Stop(); }

}  // namespace hibiscuspick::dispatch
