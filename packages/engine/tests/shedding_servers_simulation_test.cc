// Simulates servers that refuse part of their requests, with the server views
// and budgets of several instances in virtual time.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <tuple>
#include <vector>

#include "hibiscuspick/base/random.h"
#include "hibiscuspick/engine/extra_attempt_budget.h"
#include "hibiscuspick/engine/server_view.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

constexpr size_t kServers = 8;
constexpr int kSlots = 2;
constexpr Millis kWork{90};
constexpr Millis kTarget{800};
constexpr Millis kDeadline{1500};
constexpr Millis kOneWay{1};
constexpr double kRefusedShare = 0.6;
constexpr double kTotalSlack = 168;
constexpr int kMaxRefusals = 3;

struct Figures {
  double requests = 0;
  double in_time = 0;
  double refused = 0;
  double extra_attempts = 0;
};

class Simulation {
 public:
  Simulation(size_t senders, double load, const ChoicePolicy& policy,
             uint64_t seed)
      : policy_(policy), random_(seed), senders_(senders) {
    limits_.slack = kTotalSlack / static_cast<double>(senders);
    for (auto& it : senders_) {
      it.views.resize(kServers);
      for (auto& view : it.views) view.entry.slots = kSlots;
    }
    gap_ = kWork * (1 / (load * kSlots * kServers));
  }

  // Half of the servers begin to refuse after the first third.
  Figures Run(Millis span) {
    for (Millis at{0}; at < span;
         at += gap_ * -std::log(1 - random_.Fraction())) {
      ScheduleAt(at, [this] { StartRequest(); });
    }
    refusing_from_ = span * (1.0 / 3);
    while (!events_.empty()) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    return figures_;
  }

 private:
  struct Event {
    Millis at;
    uint64_t number;
    std::function<void()> run;
    bool operator>(const Event& it) const {
      return std::tuple(at, number) > std::tuple(it.at, it.number);
    }
  };
  struct Request {
    size_t sender = 0;
    Millis arrived;
    std::vector<size_t> refused_by;
    int refusals = 0;
    bool is_over = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Sender {
    std::vector<ServerView> views;
    ExtraAttemptBudget budget;
    std::deque<RequestPtr> waiting;
  };

  void ScheduleAt(Millis at, std::function<void()> run) {
    events_.push({at, ++number_, std::move(run)});
  }

  bool IsCounted(const Request& it) const {
    return it.arrived >= refusing_from_;
  }

  void StartRequest() {
    auto request = std::make_shared<Request>();
    request->sender = random_.Below(senders_.size());
    request->arrived = now_;
    auto& sender = senders_[request->sender];
    CountRequest(&sender.budget, limits_, now_);
    if (IsCounted(*request)) ++figures_.requests;
    ScheduleAt(now_ + kDeadline, [this, request] { Refuse(request); });
    if (!TryStart(request)) sender.waiting.push_back(request);
    ScheduleDispatch(request->sender);
  }

  void Refuse(const RequestPtr& request) {
    if (request->is_over) return;
    request->is_over = true;
    if (IsCounted(*request)) ++figures_.refused;
  }

  bool TryStart(const RequestPtr& request) {
    auto& sender = senders_[request->sender];
    const bool is_extra = request->refusals > 0;
    if (is_extra && !HasExtraAttempt(sender.budget, limits_, now_)) {
      return false;
    }
    auto policy = policy_;
    if (!HasExtraAttempt(sender.budget, limits_, now_, kUrgentReserve)) {
      policy.failure_cost = policy.unbudgeted_failure_cost;
    }
    const auto chosen = Choose(*request, policy);
    if (!chosen) return false;
    if (is_extra) {
      TakeExtraAttempt(&sender.budget, limits_, now_);
      if (IsCounted(*request)) ++figures_.extra_attempts;
    }
    const AttemptId id(++number_);
    RecordSent(&sender.views[*chosen], {id, now_, now_ + kWork * 4});
    ScheduleAt(now_ + kOneWay,
               [this, request, server = *chosen, id, sent = now_] {
                 Arrive(request, server, id, sent);
               });
    return true;
  }

  std::optional<size_t> Choose(const Request& request,
                               const ChoicePolicy& policy) {
    const auto& views = senders_[request.sender].views;
    const size_t offset = ++rotation_;
    // Servers that have refused the request are used only if no other can take
    // it, as in an instance.
    for (const bool again : {false, true}) {
      std::vector<const ServerView*> candidates;
      std::vector<size_t> indices;
      for (size_t k = 0; k < kServers; ++k) {
        const size_t i = (k + offset) % kServers;
        const bool refused = std::count(request.refused_by.begin(),
                                        request.refused_by.end(), i) > 0;
        if (policy.refusal_evidence && refused && !again) continue;
        candidates.push_back(&views[i]);
        indices.push_back(i);
      }
      const auto best = ChooseServer(candidates, policy, kWork, now_);
      if (best) return indices[*best];
      if (!policy.refusal_evidence) break;
    }
    return std::nullopt;
  }

  void Arrive(const RequestPtr& request, size_t server, AttemptId id,
              Millis sent) {
    const bool sheds = server % 2 == 0 && now_ >= refusing_from_ &&
                       random_.Fraction() < kRefusedShare;
    if (sheds) {
      ScheduleAt(now_ + kOneWay, [this, request, server, id] {
        OnRefused(request, server, id);
      });
      return;
    }
    Work([this, request, server, id,
          sent] { OnReply(request, server, id, sent); },
         server);
  }

  void Work(std::function<void()> reply, size_t server) {
    if (busy_[server] == kSlots) {
      server_queues_[server].push_back(std::move(reply));
      return;
    }
    ++busy_[server];
    ScheduleAt(now_ + kWork * (0.7 + 0.6 * random_.Fraction()),
               [this, server, reply = std::move(reply)] {
                 ScheduleAt(now_ + kOneWay, reply);
                 --busy_[server];
                 auto& queue = server_queues_[server];
                 if (queue.empty()) return;
                 auto next = std::move(queue.front());
                 queue.pop_front();
                 Work(std::move(next), server);
               });
  }

  void OnReply(const RequestPtr& request, size_t server, AttemptId id,
               Millis sent) {
    RecordReply(&senders_[request->sender].views[server], id, now_ - sent,
                kWork, policy_, now_);
    if (!request->is_over && IsCounted(*request) &&
        now_ - request->arrived <= kTarget) {
      ++figures_.in_time;
    }
    request->is_over = true;
    Dispatch(request->sender);
  }

  void OnRefused(const RequestPtr& request, size_t server, AttemptId id) {
    auto& sender = senders_[request->sender];
    RecordRefusal(&sender.views[server], id, policy_, now_);
    request->refused_by.push_back(server);
    ++request->refusals;
    if (request->is_over) return;
    if (request->refusals > kMaxRefusals) {
      Refuse(request);
    } else if (!TryStart(request)) {
      if (!HasExtraAttempt(sender.budget, limits_, now_)) {
        Refuse(request);
      } else {
        sender.waiting.push_back(request);
      }
    }
    Dispatch(request->sender);
  }

  void Dispatch(size_t i) {
    auto& waiting = senders_[i].waiting;
    while (!waiting.empty()) {
      const auto request = waiting.front();
      if (!request->is_over && !TryStart(request)) {
        if (request->refusals == 0 ||
            HasExtraAttempt(senders_[i].budget, limits_, now_)) {
          break;
        }
        Refuse(request);
      }
      waiting.pop_front();
    }
    ScheduleDispatch(i);
  }

  void ScheduleDispatch(size_t i) {
    if (senders_[i].waiting.empty() || dispatch_scheduled_[i]) return;
    dispatch_scheduled_[i] = true;
    ScheduleAt(now_ + Millis(10), [this, i] {
      dispatch_scheduled_[i] = false;
      Dispatch(i);
    });
  }

  const ChoicePolicy policy_;
  Random random_;
  ExtraAttemptLimits limits_;
  std::vector<Sender> senders_;
  std::vector<bool> dispatch_scheduled_ = std::vector<bool>(senders_.size());
  std::vector<std::deque<std::function<void()>>> server_queues_ =
      std::vector<std::deque<std::function<void()>>>(kServers);
  std::vector<int> busy_ = std::vector<int>(kServers);
  Millis gap_;
  Millis refusing_from_;
  Millis now_;
  uint64_t number_ = 0;
  size_t rotation_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Figures figures_;
};

Figures Total(size_t senders, double load, const ChoicePolicy& policy) {
  Figures total;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    const auto it = Simulation(senders, load, policy, seed).Run(Millis(45000));
    total.requests += it.requests;
    total.in_time += it.in_time;
    total.refused += it.refused;
    total.extra_attempts += it.extra_attempts;
  }
  return total;
}

struct LoadRow {
  size_t senders;
  // Share of all servers' capacity.
  double load;
  // Least gain in the share answered in time.
  double gain;
};

std::ostream& operator<<(std::ostream& out, const LoadRow& row) {
  return out << row.senders << " senders, load " << row.load;
}

const LoadRow kLoads[] = {
    {8, 0.35, -0.002}, {8, 0.65, -0.01}, {64, 0.5, -0.01}, {64, 0.65, 0.3}};

// Failure: half of a service's servers refuse six in ten requests. If refusals
// count as failures, instances send everything to the other half, whose queues
// then grow without bound from 0.65 of the service's capacity. Tests also that
// lower loads lose nothing.
BOOST_DATA_TEST_CASE(RefusingServersAreUsedForWhatTheyTake, bdata::make(kLoads),
                     row) {
  ChoicePolicy policy;
  policy.refusal_evidence = false;
  const auto before = Total(row.senders, row.load, policy);
  policy.refusal_evidence = true;
  const auto after = Total(row.senders, row.load, policy);
  BOOST_TEST_MESSAGE(row << ": in time " << before.in_time / before.requests
                         << ", then " << after.in_time / after.requests
                         << "; extra attempts "
                         << before.extra_attempts / before.requests << ", then "
                         << after.extra_attempts / after.requests);
  BOOST_TEST(after.in_time / after.requests >
             before.in_time / before.requests + row.gain);
  // The ratio, and the slack of 168 in 10 s at this load.
  const double per_10_s = row.load * kSlots * kServers * 10000 / kWork.count;
  BOOST_TEST(after.extra_attempts / after.requests <
             0.2 + kTotalSlack / per_10_s);
}

}  // namespace
}  // namespace hibiscuspick::engine
