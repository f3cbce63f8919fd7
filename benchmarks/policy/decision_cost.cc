// decision_cost: processor time of the engine for each attempt, and of its log
// line, on this machine.
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "hibiscuspick/base/log.h"
#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::benchmarks {
namespace {

constexpr int kAttempts = 200000;
constexpr int kLines = 200000;

// Of all threads of the process, the logger's too.
double CpuMicros() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

std::vector<settings::BackendServer> Servers(int n) {
  std::vector<settings::BackendServer> servers;
  servers.reserve(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) {
    servers.push_back(
        {BackendServerId("claims-02-b" + std::to_string(i)), {}, {}, 2, 25});
  }
  return servers;
}

// Adds, starts and finishes one task after another while `waiting` others are
// in line.
double MicrosPerAttempt(int servers, int waiting) {
  limits::GroupState state;
  Random random(1);
  limits::Actions actions;
  Millis now(1000);
  const auto configs = Servers(servers);
  limits::GroupPolicy policy;
  policy.admission_control_enabled = false;
  limits::Configure(&state, configs, {}, policy, now, &random, &actions);
  limits::NewTask task;
  for (const auto& it : configs) task.servers.push_back(it.id);
  uint64_t next = 0;
  size_t done = 0;
  const auto add = [&] {
    task.task = TaskId(++next);
    task.lane = kAllLanes[next % kLaneCount];
    task.deadline = now + Millis(1e6);
    limits::AddTask(&state, task, now, &random, &actions);
  };
  for (int i = 0; i < waiting + 2 * servers; ++i) add();
  const double begin = CpuMicros();
  int finished = 0;
  std::vector<AttemptId> running;
  while (finished < kAttempts) {
    for (; done < actions.size(); ++done) {
      const auto* start = std::get_if<limits::StartAttempt>(&actions[done]);
      if (start == nullptr) continue;
      const AttemptId id = start->attempt;
      if (limits::MayStart(&state, id, now, &random, &actions)) {
        running.push_back(id);
      }
    }
    actions.clear();
    done = 0;
    now += Millis(0.1);
    const AttemptId id = running.front();
    running.erase(running.begin());
    limits::FinishAttempt(&state, {id, Code::kOk, Millis(5), {}, false, {}},
                          now, &random, &actions);
    limits::Tick(&state, now, &random, &actions);
    add();
    ++finished;
  }
  return (CpuMicros() - begin) / kAttempts;
}

double MicrosPerLine() {
  const double begin = CpuMicros();
  for (int i = 0; i < kLines; ++i) {
    Log(Part::kLimit)
        .info(
            "started {} {} of task {} of {} at {}, lane {}, waited {:.1f} ms, "
            "{} waiting",
            "first attempt", i, i, "claims-02", "claims-02-b1", "urgent", 0.4,
            3);
  }
  StopLogs();
  return (CpuMicros() - begin) / kLines;
}

int Main() {
  std::printf("| servers | waiting | us per attempt |\n| --- | --- | --- |\n");
  for (const int servers : {2, 20}) {
    for (const int waiting : {0, 100, 1000}) {
      std::printf("| %d | %d | %.2f |\n", servers, waiting,
                  MicrosPerAttempt(servers, waiting));
    }
  }
  StartLogs(LogFormat::kText, "info", "osl-1-a");
  std::printf("log line written: %.2f us\n", MicrosPerLine());
  std::printf("log line, level off: %.3f us\n", MicrosPerLine());
  return 0;
}

}  // namespace
}  // namespace hibiscuspick::benchmarks

int main() { return hibiscuspick::benchmarks::Main(); }
