// A backend server on virtual time: slots, a queue, index versions.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/scenario/schedule.h"

namespace hibiscuspick::scenario {

struct ServerReply {
  Code code = Code::kOk;
  // The version the hits were made from.
  IndexVersion version;
  std::vector<IndexVersion> held;
  bool draining = false;
  Incarnation incarnation;
};

struct FakeServer {
  BackendServerId id;
  DataCentreId data_centre;
  bool alive = true;
  bool draining = false;
  Incarnation incarnation{1};
  std::set<IndexVersion> held;
  int slots = 2;
  size_t max_queue = 64;
  Millis mean{5};
  double straggler_share = 0;
  double straggler_factor = 15;
  // Answers from another version than it was asked for, and says which.
  bool ignores_version = false;

  uint64_t arrived = 0;
  uint64_t executed = 0;
  Millis last_arrival{-1};

  struct Work {
    uint64_t number = 0;
    IndexVersion version;
    std::function<void(ServerReply)> reply;
  };
  std::deque<Work> waiting;
  std::set<uint64_t> running;
};

// An attempt arrives; `reply` is called when its answer leaves.
void Arrive(FakeServer* server, FakeServer::Work work, Schedule* schedule,
            Random* random);

// Frees the slot or the place in the queue.
void CancelWork(FakeServer* server, uint64_t number, Schedule* schedule,
                Random* random);

// What ran and waited is gone; nothing is answered.
void Kill(FakeServer* server);

}  // namespace hibiscuspick::scenario
