#include "hibiscuspick/cli/load_run.h"

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "hibiscuspick/cli/daemon_call.h"
#include "hibiscuspick/http/connection.h"

namespace hibiscuspick::cli {
namespace {

// Set by a signal handler, which may do no more.
std::atomic<bool> load_stopped{false};
static_assert(std::atomic<bool>::is_always_lock_free);

// From the first worker's start to the first query's instant.
constexpr Millis kLeadTime{50};

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMillisPerSecond = 1000;

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / kMicrosPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// 0 if the queries name none.
Millis DeadlineOf(const LoadPlan& plan) {
  return Millis(plan.options.value("deadline_ms", 0.0));
}

// The run's threads. One worker at a time holds the clock: it waits for the
// next instant of the plan, lets go of the clock and sends. A worker that
// leaves no one waiting for the clock starts another, so that there are as
// many as there are queries in flight, up to the bound.
class Generator {
 public:
  explicit Generator(const LoadPlan& plan)
      : plan_(plan),
        arrivals_(PlanArrivals(plan)),
        start_(SteadyNow() + kLeadTime) {}

  LoadReport Run() {
    const double before = ProcessorSeconds();
    AddWorker();
    std::thread progress([this] { ShowProgress(); });
    JoinWorkers();
    {
      const std::lock_guard lock(mutex_);
      done_ = true;
    }
    all_done_.notify_all();
    progress.join();
    LoadReport report = MakeReport(plan_.mix, answers_, DeadlineOf(plan_));
    report.elapsed = SteadyNow() - start_;
    report.own_cores =
        (ProcessorSeconds() - before) * kMillisPerSecond / report.elapsed.count;
    report.workers = workers_.size();
    return report;
  }

 private:
  // A worker's own connection to each target, made when first needed.
  using Connections = std::vector<std::unique_ptr<http::Connection>>;

  void AddWorker() {
    const std::lock_guard lock(mutex_);
    if (workers_.size() >= plan_.max_workers) return;
    workers_.emplace_back([this] { Work(); });
  }

  // The list grows while it is joined: a worker that starts another does so
  // before it ends.
  void JoinWorkers() {
    for (size_t i = 0;; ++i) {
      std::thread worker;
      {
        const std::lock_guard lock(mutex_);
        if (i == workers_.size()) return;
        worker = std::move(workers_[i]);
      }
      worker.join();
    }
  }

  void Work() {
    Connections connections(plan_.targets.size());
    std::vector<LoadAnswer> answers;
    for (;;) {
      const size_t i = AwaitNext();
      if (i >= arrivals_.size()) break;
      if (waiting_ == 0) AddWorker();
      const LoadAnswer answer = Ask(i, connections);
      if (arrivals_[i].at >= plan_.warm_up) answers.push_back(answer);
    }
    const std::lock_guard lock(mutex_);
    answers_.insert(answers_.end(), answers.begin(), answers.end());
  }

  // Waits for the instant of the next query; gives its number, or the number
  // of all if there is none.
  size_t AwaitNext() {
    ++waiting_;
    const std::lock_guard lock(clock_);
    --waiting_;
    if (load_stopped) return arrivals_.size();
    const size_t i = next_;
    if (i == arrivals_.size()) return i;
    const Millis left = start_ + arrivals_[i].at - SteadyNow();
    if (left > Millis(0)) std::this_thread::sleep_for(left.ToMicros());
    next_ = i + 1;
    return i;
  }

  LoadAnswer Ask(size_t i, Connections& connections) {
    const Arrival& arrival = arrivals_[i];
    const Millis due = start_ + arrival.at;
    Json query = plan_.query;
    if (query.is_object()) query["n"] = i;
    auto request = MakeQuery(arrival, query);
    auto& connection = connections[i % connections.size()];
    if (!connection) {
      connection = std::make_unique<http::Connection>(
          plan_.targets[i % connections.size()], http::ConnectionLimits{});
    }
    const Millis sent = SteadyNow();
    const Millis timeout = Max(Millis(1), due + plan_.timeout - sent);
    const auto reply = connection->Send(std::move(request), timeout);
    const Millis answered = SteadyNow();
    if (!IsOk(reply)) connection.reset();
    const std::string mark = plan_.verify ? QueryMark(query) : "";
    LoadAnswer answer = ReadAnswer(reply, mark);
    answer.route = arrival.route;
    answer.latency = answered - due;
    answer.late = sent - due;
    Count(answer);
    return answer;
  }

  httplib::Request MakeQuery(const Arrival& arrival, const Json& query) const {
    Json body = plan_.options;
    body["query"] = query;
    const std::string& route = plan_.mix[arrival.route].route;
    auto request = http::MakeRequest("POST", "/v1/query/" + EncodePath(route),
                                     DumpJson(body));
    if (!plan_.customer.empty()) {
      request.set_header("X-Customer", plan_.customer);
    }
    return request;
  }

  void Count(const LoadAnswer& answer) {
    const bool answered = answer.kind == AnswerKind::kWhole ||
                          answer.kind == AnswerKind::kPartial;
    ++(answered ? answered_ : unanswered_);
  }

  void ShowProgress() {
    if (!plan_.progress) return;
    std::unique_lock lock(mutex_);
    while (!all_done_.wait_for(lock, std::chrono::seconds(1),
                               [this] { return done_; })) {
      const double seconds = (SteadyNow() - start_).count / kMillisPerSecond;
      std::fprintf(stderr, "\r%5.0f s  answered %zu  not answered %zu  of %zu ",
                   seconds, answered_.load(), unanswered_.load(),
                   arrivals_.size());
    }
    std::fprintf(stderr, "\n");
  }

  const LoadPlan& plan_;
  const std::vector<Arrival> arrivals_;
  const Millis start_;

  // Held by the worker that waits for the next instant.
  std::mutex clock_;
  size_t next_ = 0;
  std::atomic<size_t> waiting_{0};

  std::mutex mutex_;
  std::vector<std::thread> workers_;
  std::vector<LoadAnswer> answers_;
  bool done_ = false;
  std::condition_variable all_done_;

  std::atomic<size_t> answered_{0};
  std::atomic<size_t> unanswered_{0};
};

}  // namespace

LoadReport RunLoad(const LoadPlan& plan) { return Generator(plan).Run(); }

void StopLoad() { load_stopped = true; }

}  // namespace hibiscuspick::cli
