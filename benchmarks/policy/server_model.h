// A backend server in virtual time: slots, a first-come queue behind them, and
// service times with stragglers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "event_queue.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"

namespace hibiscuspick::benchmarks {

struct ServerParameters {
  int slots = 2;
  // Mean of the exponential service time.
  Millis mean{5};
  double straggler_share = 0.005;
  double straggler_factor = 15;
  // A cold server is this many times slower at first, and warm after the span.
  double cold_factor = 4;
  Millis cold_span{10000};
};

enum class Ending { kAnswered, kLost, kExpired };

class ServerModel {
 public:
  using OnEnd = std::function<void(Ending)>;

  ServerModel(EventQueue* events, const ServerParameters& parameters,
              uint64_t seed)
      : events_(events), parameters_(parameters), random_(seed) {}

  // A request came in. `on_end` is called once, unless it is cancelled.
  // `work` is its size in units of the mean.
  void Arrive(uint64_t id, double work, Millis deadline, OnEnd on_end);
  void Cancel(uint64_t id);

  // From now on all requests are lost, the running ones too.
  void Lose();
  void StartCold() { cold_since_ = events_->now(); }

 private:
  struct Request {
    uint64_t id = 0;
    double work = 1;
    Millis deadline;
    OnEnd on_end;
  };

  Millis ServiceTime(double work);
  void StartNext();
  void End(uint64_t id, Ending ending);

  EventQueue* const events_;
  const ServerParameters parameters_;
  Random random_;
  bool lost_ = false;
  Millis cold_since_{-1e9};
  std::deque<Request> queue_;
  std::unordered_map<uint64_t, Request> running_;
};

}  // namespace hibiscuspick::benchmarks
