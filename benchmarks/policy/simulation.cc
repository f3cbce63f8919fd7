#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>
#include <utility>

namespace hibiscuspick::benchmarks {
namespace {

constexpr int kServices = 20;
constexpr int kReplicas = 2;
constexpr int kDaemons = 9;
constexpr int kConnections = 25;
constexpr Millis kToServer{0.2};
constexpr Millis kToOwner{0.3};
constexpr Millis kNewConnection{6};
constexpr IndexVersion kVersion{1};

// Share of queries and time allowed, by lane.
struct LaneMix {
  Lane lane;
  double share;
  Millis deadline;
};
constexpr LaneMix kMix[] = {{Lane::kUrgent, 0.2, Millis(200)},
                            {Lane::kOrdinary, 0.3, Millis(1000)},
                            {Lane::kBulk, 0.5, Millis(5000)}};

// One group's state with what its shell would hold.
struct Engine {
  limits::GroupState state;
  Random random{1};
  int service = 0;
  std::array<int, kReplicas> idle_connections{};
  Millis armed = kNever;
};

struct Query {
  Lane lane = Lane::kUrgent;
  Millis begin;
  Millis deadline;
  int open = kServices;
  bool measured = false;
};

class Simulation {
 public:
  explicit Simulation(const RunParameters& parameters);
  RunResult Run();

 private:
  void MakeTrouble();
  void NextArrival();
  void Arrive();
  void AddShard(uint64_t query, int daemon, int service);
  template <class Event>
  void Handle(Engine* engine, Event event);
  void Arm(Engine* engine);
  void CarryOut(Engine* engine, const limits::StartAttempt& start);
  void CarryOut(Engine* engine, const limits::CancelAttempt& cancel);
  void CarryOut(Engine* engine, const limits::TaskDone& done);
  void CarryOut(Engine* engine, const limits::Preconnect& prepare);
  void CarryOut(Engine*, const limits::Decision&) {}
  void OnReply(Engine* engine, limits::AttemptReport report, Ending ending);
  void OnOutcome(uint64_t query, Code code, uint32_t attempts);
  ServerModel& Server(const Engine& engine, uint32_t index) {
    return *servers_[static_cast<size_t>(engine.service) * kReplicas + index];
  }
  std::vector<settings::BackendServer> Configs(int replicas) const;
  void ConfigureAll(int replicas);

  const RunParameters parameters_;
  const Millis warm_up_;
  EventQueue events_;
  Random random_;
  double queries_per_ms_ = 0;
  std::vector<std::unique_ptr<ServerModel>> servers_;
  std::vector<Engine> engines_;
  std::unordered_map<uint64_t, Query> queries_;
  std::unordered_map<TaskId, uint64_t> query_of_;
  uint64_t last_query_ = 0;
  uint64_t last_task_ = 0;
  RunResult result_;
};

Simulation::Simulation(const RunParameters& parameters)
    : parameters_(parameters),
      warm_up_(parameters.span * 0.2),
      random_(parameters.seed) {
  const ServerParameters& server = parameters.server;
  const double slower =
      1 + server.straggler_share * (server.straggler_factor - 1);
  const double bulk_share = kMix[std::size(kMix) - 1].share;
  const double work = 1 + bulk_share * (parameters.bulk_work - 1);
  const double per_shard_ms = server.mean.count * slower * work;
  queries_per_ms_ = parameters.load * kReplicas * server.slots / per_shard_ms;
  for (int i = 0; i < kServices * kReplicas; ++i) {
    servers_.push_back(std::make_unique<ServerModel>(
        &events_, server, parameters.seed * 1000 + static_cast<uint64_t>(i)));
  }
  const int groups = kServices * (parameters.owners ? 1 : kDaemons);
  engines_.resize(static_cast<size_t>(groups));
  for (size_t i = 0; i < engines_.size(); ++i) {
    engines_[i].service = static_cast<int>(i % kServices);
    engines_[i].random = Random(parameters.seed * 7919 + i);
    engines_[i].state.next_attempt = (i << 32) + 1;
  }
}

std::vector<settings::BackendServer> Simulation::Configs(int replicas) const {
  std::vector<settings::BackendServer> configs;
  configs.reserve(static_cast<size_t>(replicas));
  for (int i = 0; i < replicas; ++i) {
    configs.push_back({BackendServerId("b" + std::to_string(i)),
                       {},
                       {},
                       parameters_.server.slots,
                       kConnections});
  }
  return configs;
}

void Simulation::ConfigureAll(int replicas) {
  for (auto& it : engines_) {
    Handle(&it, [&](limits::Actions* actions) {
      limits::Configure(&it.state, Configs(replicas), {}, parameters_.policy,
                        events_.now(), &it.random, actions);
    });
  }
}

RunResult Simulation::Run() {
  const bool cold = parameters_.trouble == Trouble::kHalfCold;
  ConfigureAll(cold ? kReplicas - 1 : kReplicas);
  events_.At(warm_up_, [this] { MakeTrouble(); });
  NextArrival();
  events_.RunUntil(warm_up_ + parameters_.span + Millis(6000));
  result_.span = parameters_.span;
  return std::move(result_);
}

void Simulation::MakeTrouble() {
  if (parameters_.trouble == Trouble::kReplicaLost) {
    servers_[0]->Lose();
    servers_[kReplicas]->Lose();
  }
  if (parameters_.trouble == Trouble::kHalfCold) {
    for (size_t i = 1; i < servers_.size(); i += kReplicas) {
      servers_[i]->StartCold();
    }
    ConfigureAll(kReplicas);
  }
}

void Simulation::NextArrival() {
  const Millis gap(-std::log(1 - random_.Fraction()) / queries_per_ms_);
  if (events_.now() + gap > warm_up_ + parameters_.span) return;
  events_.In(gap, [this] {
    Arrive();
    NextArrival();
  });
}

void Simulation::Arrive() {
  double pick = random_.Fraction();
  const LaneMix* mix = &kMix[0];
  while (pick >= mix->share && mix != std::end(kMix) - 1) {
    pick -= mix->share;
    ++mix;
  }
  const uint64_t id = ++last_query_;
  Query& query = queries_[id];
  query.lane = mix->lane;
  query.begin = events_.now();
  query.deadline = events_.now() + mix->deadline;
  query.measured = events_.now() >= warm_up_;
  const int daemon = static_cast<int>(random_.Below(kDaemons));
  for (int service = 0; service < kServices; ++service) {
    const Millis hop = parameters_.owners ? kToOwner : Millis(0);
    events_.In(hop,
               [this, id, daemon, service] { AddShard(id, daemon, service); });
  }
}

void Simulation::AddShard(uint64_t id, int daemon, int service) {
  const Query& query = queries_.at(id);
  const int index = parameters_.owners ? service : daemon * kServices + service;
  Engine& engine = engines_[static_cast<size_t>(index)];
  limits::NewTask task;
  task.task = TaskId(++last_task_);
  task.lane = query.lane;
  // Less the way back, as the entry daemon gives the time left.
  task.deadline = query.deadline - (parameters_.owners ? kToOwner : Millis(0));
  for (const auto& it : Configs(kReplicas)) task.servers.push_back(it.id);
  task.version = kVersion;
  query_of_[task.task] = id;
  Handle(&engine, [&](limits::Actions* actions) {
    limits::AddTask(&engine.state, task, events_.now(), &engine.random,
                    actions);
  });
}

template <class Event>
void Simulation::Handle(Engine* engine, Event event) {
  limits::Actions actions;
  event(&actions);
  for (const auto& action : actions) {
    std::visit([&](const auto& it) { CarryOut(engine, it); }, action);
  }
  Arm(engine);
}

void Simulation::Arm(Engine* engine) {
  const Millis due = limits::NextDue(engine->state);
  if (due >= engine->armed) return;
  engine->armed = due;
  events_.At(due, [this, engine, due] {
    if (engine->armed != due) return;
    engine->armed = kNever;
    Handle(engine, [&](limits::Actions* actions) {
      limits::Tick(&engine->state, events_.now(), &engine->random, actions);
    });
  });
}

void Simulation::CarryOut(Engine* engine, const limits::StartAttempt& start) {
  bool may_start = false;
  Handle(engine, [&](limits::Actions* actions) {
    may_start = limits::MayStart(&engine->state, start.attempt, events_.now(),
                                 &engine->random, actions);
  });
  if (!may_start) return;
  int& idle = engine->idle_connections[start.server];
  const Millis connect = idle > 0 ? Millis(0) : kNewConnection;
  if (idle > 0) --idle;
  limits::AttemptReport report;
  report.attempt = start.attempt;
  // Holds the time of sending until the reply is there.
  report.latency = events_.now();
  const Lane lane = engine->state.attempts.at(start.attempt).lane;
  const double work = lane == Lane::kBulk ? parameters_.bulk_work : 1;
  events_.In(connect + kToServer, [this, engine, start, report, work] {
    Server(*engine, start.server)
        .Arrive(start.attempt.value, work, start.deadline,
                [this, engine, report, start](Ending ending) {
                  events_.In(kToServer, [this, engine, report, start, ending] {
                    if (ending == Ending::kAnswered) {
                      ++engine->idle_connections[start.server];
                    }
                    OnReply(engine, report, ending);
                  });
                });
  });
}

void Simulation::CarryOut(Engine* engine, const limits::CancelAttempt& cancel) {
  events_.In(kToServer, [this, engine, cancel] {
    Server(*engine, cancel.server).Cancel(cancel.attempt.value);
    events_.In(kToServer, [this, engine, cancel] {
      Handle(engine, [&](limits::Actions* actions) {
        limits::ConfirmCancel(&engine->state, cancel.attempt, events_.now(),
                              &engine->random, actions);
      });
    });
  });
}

void Simulation::CarryOut(Engine*, const limits::TaskDone& done) {
  const auto it = query_of_.find(done.task);
  const uint64_t query = it->second;
  query_of_.erase(it);
  const Millis hop = parameters_.owners ? kToOwner : Millis(0);
  events_.In(
      hop, [this, query, done] { OnOutcome(query, done.code, done.attempts); });
}

void Simulation::CarryOut(Engine* engine, const limits::Preconnect& prepare) {
  events_.In(kNewConnection,
             [engine, prepare] { ++engine->idle_connections[prepare.server]; });
}

void Simulation::OnReply(Engine* engine, limits::AttemptReport report,
                         Ending ending) {
  report.latency = events_.now() - report.latency;
  report.code = Code::kOk;
  if (ending == Ending::kLost) report.code = Code::kConnectFailed;
  if (ending == Ending::kExpired) report.code = Code::kDeadlineExceeded;
  Handle(engine, [&](limits::Actions* actions) {
    limits::FinishAttempt(&engine->state, report, events_.now(),
                          &engine->random, actions);
  });
}

void Simulation::OnOutcome(uint64_t id, Code code, uint32_t attempts) {
  Query& query = queries_.at(id);
  LaneResult& lane = result_.lanes[LaneIndex(query.lane)];
  if (query.measured) {
    ++lane.shards;
    ++result_.shards;
    result_.attempts += attempts;
    if (code == Code::kOk) ++lane.answered;
  }
  const bool in_span =
      events_.now() >= warm_up_ && events_.now() < warm_up_ + parameters_.span;
  if (in_span && query.lane == Lane::kBulk && code == Code::kOk) {
    ++result_.bulk_in_span;
  }
  if (--query.open > 0) return;
  if (query.measured) {
    const Millis took = Min(events_.now(), query.deadline) - query.begin;
    lane.latencies.push_back(took.count);
  }
  queries_.erase(id);
}

}  // namespace

RunResult Simulate(const RunParameters& parameters) {
  return Simulation(parameters).Run();
}

}  // namespace hibiscuspick::benchmarks
