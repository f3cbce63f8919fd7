// A GroupState with its lock. Passes events to the state and collects the
// resulting I/O, which the caller performs after the lock is released.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection_pool.h"
#include "decision_log.h"
#include "hibiscuspick/dispatch/executor_metrics.h"
#include "hibiscuspick/limits/group.h"
#include "jobs.h"

namespace hibiscuspick::dispatch {

// An attempt for a worker to run.
struct AttemptSpec {
  AttemptId attempt;
  Job job;
  BackendServerId server;
  Millis deadline;
  std::shared_ptr<ConnectionPool> pool;
};

// A cancel request for a worker to send.
struct CancelSpec {
  AttemptId attempt;
  std::shared_ptr<ConnectionPool> pool;
};

// A finished task.
struct FinishedJob {
  Job job;
  limits::ShardOutcome outcome;
  // The reply's body; used for a record.
  std::string body;
};

// The I/O that an event requires, performed without the lock.
struct Effects {
  std::vector<AttemptSpec> starts;
  std::vector<CancelSpec> cancels;
  std::vector<std::shared_ptr<http::Connection>> aborts;
  std::vector<std::shared_ptr<ConnectionPool>> preconnects;
  std::vector<FinishedJob> finished;
  std::vector<LoggedDecision> decisions;
  Millis due = kNever;
};

// The content of a reply, kept until the group decides whether it is the
// answer.
struct ReplyContent {
  std::vector<limits::Hit> hits;
  std::string body;
};

class ExecutorGroup {
 public:
  // `number` sets the range of attempt ids and must be unique in the process.
  ExecutorGroup(ServiceId service, uint64_t number, uint64_t seed,
                http::ConnectionLimits limits, ConnectionCounters* counters);

  const ServiceId& service() const { return service_; }

  Effects Apply(const GroupConfig& config);
  // As Apply, for a service that was removed.
  Effects Retire();
  Effects Add(std::vector<std::pair<limits::NewTask, Job>> tasks);
  Effects Cancel(const std::vector<TaskId>& tasks);
  Effects ApplyDrainReport(const BackendServerId& server,
                           Incarnation incarnation, bool draining);
  Effects Tick();
  Effects ConfirmCancel(AttemptId attempt);

  // Final check before the request is sent. After true the attempt counts as
  // sent, and `connection` may be aborted until Finish.
  bool MayStart(AttemptId attempt,
                const std::shared_ptr<http::Connection>& connection,
                Effects* effects);
  Effects Finish(const limits::AttemptReport& report, ReplyContent content);

  // Cancels all unfinished tasks and returns them.
  std::vector<FinishedJob> CancelAll(Effects* effects);

  // Registers a cancel or health request that runs on the connection until
  // EndControl. It is aborted after `until`, since its server may be one that
  // sends its reply in small pieces.
  void BeginControl(const std::shared_ptr<http::Connection>& connection,
                    Millis until);
  void EndControl(const std::shared_ptr<http::Connection>& connection);

  // Aborts control requests past their time and, again, requests of abandoned
  // attempts, since an abort has no effect on a request that has not begun.
  // Returns when to call it next.
  Millis AbortOverdue(Millis now);

  // Aborts all running requests. Returns whether there were any.
  bool AbortRunning();

  // Whether no task or request is left.
  bool IsIdle();

  // Whether the server is part of the service.
  bool HasServer(const BackendServerId& server);

  GroupMetrics Metrics();

 private:
  struct Running {
    std::shared_ptr<http::Connection> connection;
    bool aborted = false;
  };

  // Applies the event to the state and collects its effects. The caller holds
  // the lock.
  template <class Event>
  void Handle(Effects* effects, Event event);
  void Collect(limits::Actions actions, Effects* effects);
  void CollectOne(const limits::StartAttempt& start, Effects* effects);
  void CollectOne(const limits::TaskDone& done, Effects* effects);
  void CollectOne(const limits::CancelAttempt& cancel, Effects* effects);
  void CollectOne(const limits::Preconnect& preconnect, Effects* effects);
  void CollectOne(const limits::Decision& decision, Effects* effects);
  // Creates a pool for each server that has none or whose address has changed.
  void MakePools();

  const ServiceId service_;
  const http::ConnectionLimits limits_;
  ConnectionCounters* const counters_;
  std::mutex mutex_;
  limits::GroupState state_;
  Random random_;
  std::unordered_map<TaskId, Job> jobs_;
  std::unordered_map<AttemptId, Running> running_;
  // By the server's index.
  std::vector<std::shared_ptr<ConnectionPool>> pools_;
  std::map<std::shared_ptr<http::Connection>, Millis> control_;
  // The reply of the attempt that is being finished.
  ReplyContent content_;
  std::map<Code, uint64_t> attempts_by_code_;
  LatencyHistogram latency_ = MakeLatencyHistogram();
};

}  // namespace hibiscuspick::dispatch
