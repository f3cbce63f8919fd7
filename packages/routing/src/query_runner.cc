#include "hibiscuspick/routing/query_runner.h"

#include <condition_variable>
#include <utility>
#include <vector>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::routing {
namespace {

// How often a waiting query checks whether its caller has disconnected.
constexpr Millis kCallerPollInterval{5};

void LogPin(const QueryState& state) {
  if (!state.plan) return;
  Log(Part::kRoute)
      .info("query {} of route {} pinned version {} with {} shards",
            state.id.value, state.request.route.text, state.plan->version.value,
            state.plan->shards.size());
}

void LogAnswer(const QueryState& state, const Answer& answer) {
  Log(Part::kRoute)
      .info(
          "query {} finished with {}: {} of {} documents, {} attempts, {} "
          "restarts, {} parts reassigned, {:.1f} ms",
          state.id.value, CodeName(answer.code), answer.documents_covered,
          answer.documents_total, answer.attempts, answer.restarts,
          answer.parts_reassigned, answer.elapsed.count);
}

}  // namespace

// Queue of events for the thread that runs the query. Only that thread accesses
// the query's state, so posting an event never waits for the query.
struct QueryRunner::Inbox {
  std::mutex mutex;
  std::condition_variable wake;
  std::vector<Event> events;

  void Push(Event event) {
    {
      const std::lock_guard lock(mutex);
      events.push_back(std::move(event));
    }
    wake.notify_one();
  }

  std::vector<Event> WaitUntil(Millis due) {
    std::unique_lock lock(mutex);
    const Millis span = Max(Millis(0), due - SteadyNow());
    wake.wait_for(lock, span.ToMicros(), [this] { return !events.empty(); });
    return std::exchange(events, {});
  }
};

QueryRunner::QueryRunner(InstanceId instance, Incarnation incarnation,
                         RunnerCallbacks callbacks)
    : instance_(std::move(instance)),
      incarnation_(incarnation),
      callbacks_(std::move(callbacks)) {}

void QueryRunner::Add(QueryId id, std::shared_ptr<Inbox> inbox) {
  Stripe& stripe = StripeOf(id);
  const std::lock_guard lock(stripe.mutex);
  stripe.inboxes.emplace(id, std::move(inbox));
}

void QueryRunner::Remove(QueryId id) {
  Stripe& stripe = StripeOf(id);
  const std::lock_guard lock(stripe.mutex);
  stripe.inboxes.erase(id);
}

Answer QueryRunner::Run(QueryRequest request, Millis arrived,
                        const std::function<Plans()>& plans,
                        const std::function<bool()>& stop) {
  const QueryId id(++last_query_);
  ++running_;
  const auto inbox = std::make_shared<Inbox>();
  Add(id, inbox);
  QueryEnvironment environment;
  environment.self = instance_;
  environment.incarnation = incarnation_;
  environment.candidates = [this](const ServiceId& service) {
    return Candidates(service);
  };
  environment.plans = plans;
  environment.may_reassign = [this](size_t shards) {
    const std::lock_guard lock(budget_mutex_);
    return TakeTokens(&budget_, shards);
  };

  QueryState state = MakeQuery(std::move(request), id, arrived);
  Answer answer;
  uint32_t logged = 0;
  const auto advance = [&](Event event) {
    auto actions = Step(&state, std::move(event), environment, SteadyNow());
    if (logged <= state.generation) {
      LogPin(state);
      logged = state.generation + 1;
    }
    return Perform(&actions, &answer);
  };
  bool done = advance(Started{CurrentHeldVersions()});
  while (!done) {
    const Millis now = SteadyNow();
    auto events =
        inbox->WaitUntil(Min(NextDue(state), now + kCallerPollInterval));
    for (auto& it : events) done = done || advance(std::move(it));
    if (!done && stop()) done = advance(CallerGone{});
    if (!done && SteadyNow() >= NextDue(state)) done = advance(Tick{});
  }
  Remove(id);
  --running_;
  LogAnswer(state, answer);
  return answer;
}

bool QueryRunner::Perform(std::vector<Action>* actions, Answer* answer) {
  bool done = false;
  for (auto& action : *actions) {
    if (const auto* send = std::get_if<SendPart>(&action)) {
      Log(Part::kRoute)
          .info(
              "query {} asked instance {} for {} shards of version {} as part "
              "{}",
              QueryOf(send->part.origin.part).value, send->to.text,
              send->part.shards.size(), send->part.version.value,
              send->part.origin.part.value);
      {
        const std::lock_guard lock(budget_mutex_);
        AddTokens(&budget_, send->part.shards.size());
      }
      if (send->to == instance_) {
        callbacks_.run_local(send->part);
      } else {
        callbacks_.send_part(send->to, send->part);
      }
    } else if (const auto* cancel = std::get_if<CancelPart>(&action)) {
      callbacks_.cancel_part(cancel->at, cancel->part);
    } else if (const auto* seen = std::get_if<VersionObserved>(&action)) {
      Record(*seen);
    } else if (const auto* observed = std::get_if<PeerObserved>(&action)) {
      Record(*observed);
    } else if (auto* finish = std::get_if<Finish>(&action)) {
      *answer = std::move(finish->answer);
      done = true;
    }
  }
  return done;
}

void QueryRunner::OnOutcomes(PartId part,
                             std::vector<limits::ShardOutcome> outcomes) {
  const QueryId id = QueryOf(part);
  Stripe& stripe = StripeOf(id);
  std::shared_ptr<Inbox> inbox;
  {
    const std::lock_guard lock(stripe.mutex);
    const auto it = stripe.inboxes.find(id);
    if (it == stripe.inboxes.end()) return;
    inbox = it->second;
  }
  inbox->Push(OutcomesArrived{part, std::move(outcomes)});
}

void QueryRunner::OnPeerFailed(const InstanceId& instance) {
  for (auto& stripe : stripes_) {
    const std::lock_guard lock(stripe.mutex);
    for (auto& [id, inbox] : stripe.inboxes) inbox->Push(PeerFailed{instance});
  }
}

void QueryRunner::Record(const VersionObserved& seen) {
  if (seen.answered && held_empty_) return;
  const std::lock_guard lock(held_mutex_);
  if (seen.answered) {
    RecordAnswer(&held_, seen.shard, seen.version);
  } else {
    RecordRefusal(&held_, seen.shard, seen.version, seen.held, SteadyNow());
  }
  held_empty_ = held_.reports.empty();
}

void QueryRunner::Record(const PeerObserved& seen) {
  if (!seen.timed_out && unresponsive_empty_) return;
  const std::lock_guard lock(unresponsive_mutex_);
  if (seen.timed_out) {
    RecordUnresponsive(&unresponsive_, seen.instance, SteadyNow());
    Log(Part::kRoute)
        .info("instance {} sent no outcome of a part in time",
              seen.instance.text);
  } else {
    RecordResponse(&unresponsive_, seen.instance);
  }
  unresponsive_empty_ = unresponsive_.peers.empty();
}

std::vector<InstanceId> QueryRunner::Candidates(const ServiceId& service) {
  std::vector<InstanceId> candidates = callbacks_.candidates(service);
  if (unresponsive_empty_) return candidates;
  const std::lock_guard lock(unresponsive_mutex_);
  PutSuspectsLast(&unresponsive_, &candidates, SteadyNow());
  return candidates;
}

HeldVersions QueryRunner::CurrentHeldVersions() {
  if (held_empty_) return {};
  const std::lock_guard lock(held_mutex_);
  RemoveExpired(&held_, SteadyNow());
  held_empty_ = held_.reports.empty();
  return held_;
}

}  // namespace hibiscuspick::routing
