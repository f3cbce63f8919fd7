#include "hibiscuspick/routing/query_runner.h"

#include <condition_variable>
#include <utility>
#include <vector>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::routing {
namespace {

// How often a waiting query checks whether its caller has disconnected.
constexpr Millis kCallerPoll{5};

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
          answer.asked_again, answer.took.count);
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
                         RunnerPorts ports)
    : instance_(std::move(instance)),
      incarnation_(incarnation),
      ports_(std::move(ports)) {}

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
  QueryWorld world;
  world.self = instance_;
  world.incarnation = incarnation_;
  world.candidates = [this](const ServiceId& service) {
    return Candidates(service);
  };
  world.plans = plans;
  world.may_ask_again = [this](size_t shards) {
    const std::lock_guard lock(budget_mutex_);
    return Spend(&budget_, shards);
  };

  QueryState state = MakeQuery(std::move(request), id, arrived);
  Answer answer;
  uint32_t logged = 0;
  const auto advance = [&](Event event) {
    auto actions = Step(&state, std::move(event), world, SteadyNow());
    if (logged <= state.generation) {
      LogPin(state);
      logged = state.generation + 1;
    }
    return Perform(&actions, &answer);
  };
  bool done = advance(Started{HeldNow()});
  while (!done) {
    const Millis now = SteadyNow();
    auto events = inbox->WaitUntil(Min(NextDue(state), now + kCallerPoll));
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
        Earn(&budget_, send->part.shards.size());
      }
      if (send->to == instance_) {
        ports_.run_local(send->part);
      } else {
        ports_.send_part(send->to, send->part);
      }
    } else if (const auto* cancel = std::get_if<CancelPart>(&action)) {
      ports_.cancel_part(cancel->at, cancel->part);
    } else if (const auto* seen = std::get_if<VersionSeen>(&action)) {
      Learn(*seen);
    } else if (const auto* peer = std::get_if<PeerSeen>(&action)) {
      Learn(*peer);
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

void QueryRunner::Learn(const VersionSeen& seen) {
  if (seen.answered && held_empty_) return;
  const std::lock_guard lock(held_mutex_);
  if (seen.answered) {
    LearnAnswered(&held_, seen.shard, seen.version);
  } else {
    LearnRefused(&held_, seen.shard, seen.version, seen.held, SteadyNow());
  }
  held_empty_ = held_.reports.empty();
}

void QueryRunner::Learn(const PeerSeen& seen) {
  if (!seen.is_silent && silent_empty_) return;
  const std::lock_guard lock(silent_mutex_);
  if (seen.is_silent) {
    NoteSilent(&silent_, seen.instance, SteadyNow());
    Log(Part::kRoute)
        .info("instance {} sent no outcome of a part in time",
              seen.instance.text);
  } else {
    RecordContact(&silent_, seen.instance);
  }
  silent_empty_ = silent_.peers.empty();
}

std::vector<InstanceId> QueryRunner::Candidates(const ServiceId& service) {
  std::vector<InstanceId> candidates = ports_.candidates(service);
  if (silent_empty_) return candidates;
  const std::lock_guard lock(silent_mutex_);
  PutSuspectsLast(&silent_, &candidates, SteadyNow());
  return candidates;
}

HeldVersions QueryRunner::HeldNow() {
  if (held_empty_) return {};
  const std::lock_guard lock(held_mutex_);
  ForgetOld(&held_, SteadyNow());
  held_empty_ = held_.reports.empty();
  return held_;
}

}  // namespace hibiscuspick::routing
