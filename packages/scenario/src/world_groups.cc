// Groups of backend servers at the instance that runs work on them.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "hibiscuspick/base/hash.h"
#include "hibiscuspick/membership/reply_drain.h"
#include "hibiscuspick/scenario/world.h"

namespace hibiscuspick::scenario {
namespace {

// Attempt numbers of different services of one instance stay apart.
constexpr uint64_t kAttemptsPerService = 1ULL << 32;

// A connect to a dead server is refused at once.
constexpr Millis kRefusalTakes{0.3};

// Whether the node has heard that the server drains in the life it knows the
// server to be in. Old news of an earlier life, passed on late, doesn't count.
bool IsKnownToDrain(const Node& node, const limits::ServerState& server) {
  const auto it = node.members->servers.find(server.config.id);
  if (it == node.members->servers.end() || !it->second.draining) return false;
  const bool any_life = it->second.incarnation == Incarnation();
  return any_life || it->second.incarnation >= server.incarnation;
}

}  // namespace

uint64_t World::WorkNumber(const Node& node, AttemptId attempt) const {
  return Hash(node.id.text, attempt.value ^ (node.life << 56));
}

void World::ConfigureGroups(Node* node) {
  uint64_t index = node->groups.size();
  for (const auto& config : daemon::GroupConfigsOf(*node->view)) {
    const ServiceId& service = config.service.id;
    const auto [it, is_new] = node->groups.try_emplace(service);
    if (is_new) {
      it->second.state.next_attempt = 1 + kAttemptsPerService * index++;
    }
    GroupActions actions;
    limits::Configure(&it->second.state, config.service.backend_servers,
                      config.drained, config.policy, now(), &node->random,
                      &actions);
    Carry(node, service, actions);
  }
}

void World::Carry(Node* node, const ServiceId& service,
                  const GroupActions& actions) {
  for (const auto& action : actions) {
    if (const auto* start = std::get_if<limits::StartAttempt>(&action)) {
      StartAttempt(node, service, *start);
    } else if (const auto* cancel =
                   std::get_if<limits::CancelAttempt>(&action)) {
      CancelAttempt(node, service, *cancel);
    } else if (const auto* done = std::get_if<limits::TaskDone>(&action)) {
      FinishTask(node, service, *done);
    }
  }
  WakeGroup(node, service);
}

void World::WakeGroup(Node* node, const ServiceId& service) {
  NodeGroup& group = node->groups.at(service);
  const Millis due = limits::NextDue(group.state);
  if (due >= group.wakes_at) return;
  group.wakes_at = due;
  LaterOnNode(node, due, [this, node, service] {
    NodeGroup& it = node->groups.at(service);
    it.wakes_at = kNever;
    GroupActions actions;
    if (now() >= limits::NextDue(it.state)) {
      limits::Tick(&it.state, now(), &node->random, &actions);
    }
    Carry(node, service, actions);
  });
}

void World::StartAttempt(Node* node, const ServiceId& service,
                         const limits::StartAttempt& start) {
  NodeGroup& group = node->groups.at(service);
  NodeAttempt attempt;
  attempt.task = start.task;
  attempt.server = start.server;
  attempt.deadline = start.deadline;
  const auto task = group.tasks.find(start.task);
  if (task != group.tasks.end()) attempt.version = task->second.version;
  group.attempts[start.attempt] = attempt;
  // A worker takes it up a moment later.
  LaterOnNode(node, now(), [this, node, service, id = start.attempt] {
    SendAttempt(node, service, id);
  });
}

void World::SendAttempt(Node* node, const ServiceId& service, AttemptId id) {
  NodeGroup& group = node->groups.at(service);
  GroupActions actions;
  const bool may =
      limits::MayStart(&group.state, id, now(), &node->random, &actions);
  Carry(node, service, actions);
  if (!may) {
    group.attempts.erase(id);
    return;
  }
  NodeAttempt& attempt = group.attempts.at(id);
  attempt.handed_at = now();
  const BackendServerId server_id =
      group.state.servers[attempt.server].config.id;
  FakeServer* server = Server(server_id.text);
  if (IsKnownToDrain(*node, group.state.servers[attempt.server])) {
    Break(fmt::format("{} sends new work to {}, which it knows drains",
                      node->id.text, server_id.text));
  }
  const std::string& here = node->data_centre.text;
  const std::string& there = server->data_centre.text;
  const Millis delay = DelayOf(network_, here, there);
  // Its connection is closed at the deadline, whatever the server does.
  LaterOnNode(node, attempt.deadline, [this, node, service, id] {
    ServerReply reply;
    reply.code = Code::kDeadlineExceeded;
    EndAttempt(node, service, id, reply);
  });
  if (!Reaches(here, there)) return;
  const auto task = group.tasks.find(attempt.task);
  if (task != group.tasks.end()) {
    Node* asker = FindNode(task->second.origin.instance.text);
    const auto query =
        asker->queries.find(routing::QueryOf(task->second.origin.part));
    if (query != asker->queries.end()) {
      const auto record = queries_.find(query->second.number);
      if (record != queries_.end()) ++record->second.arrivals;
    }
  }
  const auto answer = [this, node, service, id, here, there, delay,
                       life = node->life](const ServerReply& reply) {
    if (!Reaches(there, here)) return;
    schedule_.After(delay, [this, node, service, id, life, reply] {
      OnNode(node, life, [this, node, service, id, reply] {
        EndAttempt(node, service, id, reply);
      });
    });
  };
  schedule_.After(delay, [this, server, answer, version = attempt.version,
                          number = WorkNumber(*node, id)] {
    if (!server->alive) {
      ServerReply reply;
      reply.code = Code::kConnectFailed;
      schedule_.After(kRefusalTakes, [answer, reply] { answer(reply); });
      return;
    }
    Arrive(server, {number, version, answer}, &schedule_, &random_);
  });
}

void World::EndAttempt(Node* node, const ServiceId& service, AttemptId id,
                       const ServerReply& reply) {
  NodeGroup& group = node->groups.at(service);
  const auto it = group.attempts.find(id);
  if (it == group.attempts.end() || it->second.over) return;
  it->second.over = true;
  it->second.served = reply.version;
  limits::AttemptReport report;
  report.attempt = id;
  report.code = reply.code;
  report.latency = now() - it->second.handed_at;
  report.held = reply.held;
  report.draining = reply.draining;
  report.incarnation = reply.incarnation;
  // The check of the echoed version, as dispatch makes it.
  if (reply.code == Code::kOk && reply.version != it->second.version) {
    report.code = Code::kWrongEcho;
  }
  const auto server_id = group.state.servers[it->second.server].config.id;
  TakeDrainNews(node, server_id, reply);
  GroupActions actions;
  limits::FinishAttempt(&group.state, report, now(), &node->random, &actions);
  Carry(node, service, actions);
}

void World::TakeDrainNews(Node* node, const BackendServerId& server,
                          const ServerReply& reply) {
  // A reply that never came names no life.
  if (reply.incarnation == Incarnation()) return;
  const auto news = membership::DrainReportOfReply(
      node->members->servers, server, reply.incarnation, reply.draining);
  if (!news) return;
  Note(fmt::format("{} hears that {} {}", node->id.text, server.text,
                   reply.draining ? "drains" : "takes work"));
  StepControl(node, membership::LocalDrain{*news});
}

void World::CancelAttempt(Node* node, const ServiceId& service,
                          const limits::CancelAttempt& cancel) {
  NodeGroup& group = node->groups.at(service);
  const auto it = group.attempts.find(cancel.attempt);
  if (it == group.attempts.end()) return;
  FakeServer* server =
      Server(group.state.servers[cancel.server].config.id.text);
  const std::string here = node->data_centre.text;
  const std::string there = server->data_centre.text;
  if (!Reaches(here, there)) return;
  const Millis delay = DelayOf(network_, here, there);
  schedule_.After(delay, [this, node, service, server, here, there, delay,
                          life = node->life, id = cancel.attempt,
                          number = WorkNumber(*node, cancel.attempt)] {
    if (!server->alive) return;
    CancelWork(server, number, &schedule_, &random_);
    if (!Reaches(there, here)) return;
    schedule_.After(delay, [this, node, service, life, id] {
      OnNode(node, life, [this, node, service, id] {
        GroupActions actions;
        limits::ConfirmCancel(&node->groups.at(service).state, id, now(),
                              &node->random, &actions);
        Carry(node, service, actions);
      });
    });
  });
}

void World::FinishTask(Node* node, const ServiceId& service,
                       const limits::TaskDone& done) {
  NodeGroup& group = node->groups.at(service);
  const auto it = group.tasks.find(done.task);
  if (it == group.tasks.end()) return;
  const NodeTask task = it->second;
  group.tasks.erase(it);
  limits::ShardOutcome outcome;
  outcome.shard = task.shard;
  outcome.code = done.code;
  outcome.ran = done.ran;
  outcome.attempts = done.attempts;
  outcome.held = done.held;
  if (done.code == Code::kOk) {
    limits::Hit hit;
    hit.id = task.shard.text;
    const auto winner = group.attempts.find(done.winner);
    if (winner != group.attempts.end()) {
      hit.fields = std::to_string(winner->second.served.value);
    }
    outcome.hits.push_back(std::move(hit));
  }
  GiveOutcome(node, task.origin, std::move(outcome));
}

}  // namespace hibiscuspick::scenario
