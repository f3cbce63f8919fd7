// Queries at the instance that took them, and their parts where they run.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "hibiscuspick/daemon/part_service.h"
#include "hibiscuspick/scenario/world.h"

namespace hibiscuspick::scenario {
uint64_t World::Query(const std::string& instance, const std::string& route,
                      const Json& options) {
  const uint64_t number = ++last_query_;
  QueryRecord& record = queries_[number];
  record.route = route;
  record.sent = now();
  Node* node = FindNode(instance);
  const auto found = daemon::FindRoute(*node->view, RouteId(route), {});
  if (!IsOk(found)) {
    routing::Answer answer;
    answer.code = ErrorOf(found).code;
    FinishQuery(number, answer);
    return number;
  }
  const auto& values = ValueOf(found).values;
  routing::QueryRequest request;
  request.route = RouteId(route);
  request.query = "{}";
  request.values = values;
  request.limit = values.limit;
  request.deadline =
      Millis(options.value("deadline_ms", values.deadline.count));
  request.min_coverage = options.value("min_coverage", values.min_coverage);
  const QueryId id(++node->last_query);
  NodeQuery& query = node->queries[id];
  query.state = routing::MakeQuery(std::move(request), id, now());
  query.number = number;
  OnNode(node, node->life, [this, node, id] {
    routing::RemoveExpired(&node->held, now());
    StepQuery(node, id, routing::Started{node->held});
  });
  return number;
}

void World::StepQuery(Node* node, QueryId id, const routing::Event& event) {
  const auto it = node->queries.find(id);
  if (it == node->queries.end()) return;
  routing::QueryEnvironment world;
  world.self = node->id;
  world.incarnation = node->incarnation;
  world.candidates = [node](const ServiceId& service) {
    return daemon::CandidatesOf(*node->view, service);
  };
  world.plans = [node, route = it->second.state.request.route] {
    const auto plans = node->view->plans.find(route);
    return plans == node->view->plans.end() ? routing::Plans() : plans->second;
  };
  world.may_reassign = [node](size_t shards) {
    return routing::TakeTokens(&node->budget, shards);
  };
  const auto actions = routing::Step(&it->second.state, event, world, now());
  for (const auto& action : actions) Perform(node, id, action);
  if (node->queries.contains(id)) WakeQuery(node, id);
}

void World::WakeQuery(Node* node, QueryId id) {
  NodeQuery& query = node->queries.at(id);
  const Millis due = routing::NextDue(query.state);
  if (due >= query.wakes_at) return;
  query.wakes_at = due;
  LaterOnNode(node, due, [this, node, id] {
    const auto it = node->queries.find(id);
    if (it == node->queries.end()) return;
    it->second.wakes_at = kNever;
    if (now() >= routing::NextDue(it->second.state)) {
      StepQuery(node, id, routing::Tick{});
    } else {
      WakeQuery(node, id);
    }
  });
}

void World::Perform(Node* node, QueryId id, const routing::Action& action) {
  if (const auto* send = std::get_if<routing::SendPart>(&action)) {
    SendPart(node, *send);
  } else if (const auto* cancel = std::get_if<routing::CancelPart>(&action)) {
    CancelPart(node, *cancel);
  } else if (const auto* seen =
                 std::get_if<routing::VersionObserved>(&action)) {
    if (seen->answered) {
      routing::RecordAnswer(&node->held, seen->shard, seen->version);
    } else {
      routing::RecordRefusal(&node->held, seen->shard, seen->version,
                             seen->held, now());
    }
  } else if (const auto* finish = std::get_if<routing::Finish>(&action)) {
    const uint64_t number = node->queries.at(id).number;
    node->queries.erase(id);
    FinishQuery(number, finish->answer);
  }
}

void World::SendPart(Node* node, const routing::SendPart& send) {
  routing::AddTokens(&node->budget, send.part.shards.size());
  if (send.to == node->id) {
    // Outcomes may come at once, and the query is in the middle of a step.
    LaterOnNode(node, now(),
                [this, node, part = send.part] { RunPart(node, part); });
    return;
  }
  Deliver(
      node, send.to,
      [this, part = send.part](Node* owner) { RunPart(owner, part); }, true);
}

void World::CancelPart(Node* node, const routing::CancelPart& cancel) {
  const limits::PartOrigin origin{node->id, node->incarnation, cancel.part};
  if (cancel.at == node->id) {
    LaterOnNode(node, now(),
                [this, node, origin] { CancelRunning(node, origin); });
    return;
  }
  Deliver(
      node, cancel.at,
      [this, origin](Node* owner) { CancelRunning(owner, origin); }, false);
}

void World::RunPart(Node* node, const limits::PartRequest& part) {
  node->parts[part.origin] = {part.shards.size()};
  NoticePart(node, part.origin);
  for (const auto& work : part.shards) {
    const auto group = node->groups.find(work.service);
    if (group == node->groups.end()) {
      limits::ShardOutcome outcome;
      outcome.shard = work.shard;
      outcome.code = Code::kNoServer;
      outcome.ran = Ran::kNo;
      GiveOutcome(node, part.origin, std::move(outcome));
      continue;
    }
    limits::NewTask task;
    task.task = TaskId(++node->last_task);
    task.lane = part.lane;
    task.deadline = now() + part.time_left;
    task.servers = work.servers;
    task.version = part.version;
    group->second.tasks[task.task] = {part.origin, work.shard, part.version};
    GroupActions actions;
    limits::AddTask(&group->second.state, task, now(), &node->random, &actions);
    Carry(node, work.service, actions);
  }
}

// The daemon's PartService says so every few milliseconds while a part runs.
void World::NoticePart(Node* node, const limits::PartOrigin& origin) {
  LaterOnNode(node, now() + daemon::PartService::kHeartbeatInterval,
              [this, node, origin] {
                if (!node->parts.contains(origin)) return;
                if (origin.instance != node->id) {
                  Deliver(
                      node, origin.instance,
                      [this, part = origin.part](Node* asker) {
                        TakeOutcomes(asker, part, {});
                      },
                      false);
                }
                NoticePart(node, origin);
              });
}

void World::CancelRunning(Node* node, const limits::PartOrigin& origin) {
  node->parts.erase(origin);
  for (auto& [service, group] : node->groups) {
    std::vector<TaskId> tasks;
    for (const auto& [id, task] : group.tasks) {
      if (task.origin == origin) tasks.push_back(id);
    }
    for (const auto id : tasks) group.tasks.erase(id);
    if (tasks.empty()) continue;
    GroupActions actions;
    limits::CancelTasks(&group.state, tasks, now(), &node->random, &actions);
    Carry(node, service, actions);
  }
}

void World::GiveOutcome(Node* node, const limits::PartOrigin& origin,
                        limits::ShardOutcome outcome) {
  const auto it = node->parts.find(origin);
  if (it == node->parts.end()) return;
  if (--it->second.shards_left == 0) node->parts.erase(it);
  std::vector<limits::ShardOutcome> outcomes = {std::move(outcome)};
  if (origin.instance == node->id) {
    LaterOnNode(node, now(), [this, node, origin, outcomes] {
      TakeOutcomes(node, origin.part, outcomes);
    });
    return;
  }
  Deliver(
      node, origin.instance,
      [this, origin, outcomes](Node* asker) {
        if (asker->incarnation != origin.incarnation) return;
        TakeOutcomes(asker, origin.part, outcomes);
      },
      false);
}

void World::TakeOutcomes(Node* node, PartId part,
                         std::vector<limits::ShardOutcome> outcomes) {
  StepQuery(node, routing::QueryOf(part),
            routing::OutcomesArrived{part, std::move(outcomes)});
}

void World::FinishQuery(uint64_t number, const routing::Answer& answer) {
  const auto it = queries_.find(number);
  if (it == queries_.end()) return;
  if (it->second.answer) Break(fmt::format("query {} answered twice", number));
  it->second.answer = answer;
  it->second.answered = now();
  CheckAnswer(number, answer);
  Note(fmt::format("query {} {} answered {} of {} version {} ran {}", number,
                   CodeName(answer.code), answer.shards_answered,
                   answer.shards_total, answer.version.value,
                   RanName(answer.ran)));
}

void World::CheckAnswer(uint64_t number, const routing::Answer& answer) {
  const QueryRecord& record = queries_.at(number);
  const auto total = totals_.find(answer.version.value);
  if (answer.code == Code::kOk) {
    if (total == totals_.end() ||
        total->second.first != answer.documents_total ||
        total->second.second != answer.shards_total) {
      Break(fmt::format("query {} has a wrong denominator", number));
    }
    if (answer.shards_answered + answer.missing.size() != answer.shards_total) {
      Break(fmt::format("query {} hides missing shards", number));
    }
    for (const auto& hit : answer.hits) {
      // A fake server's hits name the version they were made from.
      if (hit.hit.fields != std::to_string(answer.version.value)) {
        Break(fmt::format("query {} mixes versions", number));
      }
    }
  }
  if (answer.ran == Ran::kNo && record.arrivals > 0) {
    Break(fmt::format("query {} ran although refused as not run", number));
  }
}

}  // namespace hibiscuspick::scenario
