// A group with virtual time that collects the requested actions.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::limits {

// Drives one GroupState. Tests set `now`.
struct GroupFixture {
  GroupState state;
  Random random{7};
  Millis now{1000};
  Actions actions;
  uint64_t last_task = 0;

  explicit GroupFixture(int servers, const GroupPolicy& policy = {},
                        int slots = 2) {
    Configure(&state, Servers(servers, slots), {}, policy, now, &random,
              &actions);
    actions.clear();
  }

  static std::vector<settings::BackendServer> Servers(int n, int slots) {
    std::vector<settings::BackendServer> servers;
    for (int i = 0; i < n; ++i) {
      servers.push_back({BackendServerId("b" + std::to_string(i)),
                         {"127.0.0.1", static_cast<uint16_t>(9000 + i)},
                         DataCentreId("d"),
                         slots,
                         25});
    }
    return servers;
  }

  // Adds a task that all servers hold, or only the given ones.
  TaskId Add(Lane lane, Millis time_left, bool idempotent = true,
             std::vector<BackendServerId> servers = {}) {
    if (servers.empty()) {
      for (const auto& it : state.servers) servers.push_back(it.config.id);
    }
    const TaskId id(++last_task);
    AddTask(&state,
            {id, lane, now + time_left, servers, IndexVersion(5), idempotent},
            now, &random, &actions);
    return id;
  }

  bool TryStart(AttemptId attempt) {
    return MayStart(&state, attempt, now, &random, &actions);
  }

  void Finish(AttemptId attempt, Code code, Millis latency = Millis(5),
              std::vector<IndexVersion> held = {}) {
    FinishAttempt(&state, {attempt, code, latency, held, false, {}}, now,
                  &random, &actions);
  }

  void Advance(Millis span) {
    now += span;
    Tick(&state, now, &random, &actions);
  }

  // Removes the collected actions of one type and returns them.
  template <class T>
  std::vector<T> Take() {
    std::vector<T> found;
    for (const auto& it : actions) {
      if (const T* one = std::get_if<T>(&it)) found.push_back(*one);
    }
    std::erase_if(actions,
                  [](auto& it) { return std::holds_alternative<T>(it); });
    return found;
  }

  // The attempts to start that MayStart confirms, which then count as sent.
  std::vector<StartAttempt> TakeStarted() {
    auto starts = Take<StartAttempt>();
    std::erase_if(starts, [this](auto& it) { return !TryStart(it.attempt); });
    return starts;
  }

  // Feeds the group latency samples of 5 ms.
  void AddLatencySamples(int n = 100) {
    for (int i = 0; i < n; ++i) {
      Add(Lane::kUrgent, Millis(1000));
      for (const auto& it : TakeStarted()) Finish(it.attempt, Code::kOk);
      now += Millis(1);
    }
    actions.clear();
  }
};

}  // namespace hibiscuspick::limits
