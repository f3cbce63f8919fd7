// One service's group with its lock: feeds events to the pure state and
// gathers what has to be done once the lock is free again.
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

// An attempt for a worker.
struct AttemptOrder {
  AttemptId attempt;
  Job job;
  BackendServerId server;
  Millis deadline;
  std::shared_ptr<ConnectionPool> pool;
};

// A cancel for a worker.
struct CancelOrder {
  AttemptId attempt;
  std::shared_ptr<ConnectionPool> pool;
};

// A task that is over.
struct FinishedJob {
  Job job;
  limits::ShardOutcome outcome;
  // For a record.
  std::string body;
};

// What an event asks for, to be done without the lock.
struct Effects {
  std::vector<AttemptOrder> starts;
  std::vector<CancelOrder> cancels;
  std::vector<std::shared_ptr<http::Connection>> aborts;
  std::vector<std::shared_ptr<ConnectionPool>> prepare;
  std::vector<FinishedJob> finished;
  std::vector<LoggedDecision> decisions;
  Millis due = kNever;
};

// A reply's content, kept until the group says whether it counts.
struct ReplyContent {
  std::vector<limits::Hit> hits;
  std::string body;
};

class ExecutorGroup {
 public:
  // `number` sets the range of attempt ids and must be new to the process.
  ExecutorGroup(ServiceId service, uint64_t number, uint64_t seed,
                http::ConnectionLimits limits, ConnectionCounters* counters);

  const ServiceId& service() const { return service_; }

  Effects Apply(const GroupConfig& config);
  // As Apply, for a service that is gone.
  Effects Retire();
  Effects Add(std::vector<std::pair<limits::NewTask, Job>> tasks);
  Effects Cancel(const std::vector<TaskId>& tasks);
  Effects TakeNews(const BackendServerId& server, Incarnation incarnation,
                   bool draining);
  Effects Tick();
  Effects ConfirmCancel(AttemptId attempt);

  // The last check before the socket. True: the attempt counts as handed over
  // and `connection` may be aborted from now on until Finish.
  bool MayStart(AttemptId attempt,
                const std::shared_ptr<http::Connection>& connection,
                Effects* effects);
  Effects Finish(const limits::AttemptReport& report, ReplyContent content);

  // Tasks without an outcome yet, all of them cancelled and given back.
  std::vector<FinishedJob> CancelAll(Effects* effects);

  // A cancel or a warm-up runs on the connection until EndControl, and is
  // aborted from `until` on. Its server may be the very one that trickles.
  void BeginControl(const std::shared_ptr<http::Connection>& connection,
                    Millis until);
  void EndControl(const std::shared_ptr<http::Connection>& connection);

  // Aborts what should have returned: control requests past their time, and
  // once more those of abandoned attempts, since an abort has no effect on a
  // request that is just about to begin. Gives when to look again.
  Millis AbortOverdue(Millis now);

  // Aborts all running requests; true if there were any.
  bool AbortRunning();

  // Whether nothing runs or waits.
  bool IsIdle();

  // Whether the server is still part of the service.
  bool HasServer(const BackendServerId& server);

  GroupMetrics Metrics();

 private:
  struct Running {
    std::shared_ptr<http::Connection> connection;
    bool aborted = false;
  };

  // Runs the event on the state under the lock, which the caller holds.
  template <class Event>
  void Handle(Effects* effects, Event event);
  void Gather(limits::Actions actions, Effects* effects);
  void GatherOne(const limits::StartAttempt& start, Effects* effects);
  void GatherOne(const limits::TaskDone& done, Effects* effects);
  void GatherOne(const limits::CancelAttempt& cancel, Effects* effects);
  void GatherOne(const limits::PrepareConnection& prepare, Effects* effects);
  void GatherOne(const limits::Decision& decision, Effects* effects);
  // One for each server, anew if its address changed.
  void MakePools();

  const ServiceId service_;
  const http::ConnectionLimits limits_;
  ConnectionCounters* const counters_;
  std::mutex mutex_;
  limits::GroupState state_;
  Random random_;
  std::unordered_map<TaskId, Job> jobs_;
  std::unordered_map<AttemptId, Running> running_;
  // By index of the server.
  std::vector<std::shared_ptr<ConnectionPool>> pools_;
  std::map<std::shared_ptr<http::Connection>, Millis> control_;
  // Of the attempt that is being finished.
  ReplyContent content_;
  std::map<Code, uint64_t> attempts_by_code_;
  LatencyHistogram latency_ = MakeLatencyHistogram();
};

}  // namespace hibiscuspick::dispatch
