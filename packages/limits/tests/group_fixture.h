// A group under virtual time, with the actions it asks for.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "hibiscuspick/limits/group.h"

namespace hibiscuspick::limits {

// Drives one GroupState; `now` is set by hand.
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

  // A task over all servers, or the named ones.
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

  bool Hand(AttemptId attempt) {
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

  // The actions of one kind so far, which are then forgotten with all others
  // of that kind.
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

  // Starts asked for so far, all handed to a socket.
  std::vector<StartAttempt> TakeHanded() {
    auto starts = Take<StartAttempt>();
    std::erase_if(starts, [this](auto& it) { return !Hand(it.attempt); });
    return starts;
  }

  // Makes the group know that attempts take about 5 ms.
  void Learn(int n = 100) {
    for (int i = 0; i < n; ++i) {
      Add(Lane::kUrgent, Millis(1000));
      for (const auto& it : TakeHanded()) Finish(it.attempt, Code::kOk);
      now += Millis(1);
    }
    actions.clear();
  }
};

}  // namespace hibiscuspick::limits
