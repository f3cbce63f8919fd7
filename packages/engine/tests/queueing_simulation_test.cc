// Simulates a load with the engine's own server views and limits in virtual
// time, and measures the answers that callers get.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <tuple>
#include <vector>

#include "hibiscuspick/base/random.h"
#include "hibiscuspick/engine/server_view.h"

namespace hibiscuspick::engine {
namespace {

constexpr size_t kShards = 20;
constexpr size_t kNeeded = 18;
constexpr size_t kSlots = 2;
constexpr Millis kMedianLatency{24};

// A kind of query.
struct QueryKind {
  Millis work;
  Millis target;
  double per_second;
};

const QueryKind kLookup{Millis(28), Millis(190), 62};
const QueryKind kUrgent{Millis(9), Millis(70), 21};

struct Query {
  Millis due;
  size_t in_time = 0;
};

struct Part {
  Query* query = nullptr;
  size_t shard = 0;
  size_t sender = 0;
  Millis work;
  Millis sent;
  AttemptId id{0};
};

struct InTime {
  double lookups = 0;
  double urgent = 0;
};

// Shards with one server each. The `senders` instances get the queries in turn;
// each keeps its own queue for each server, ordered by due time.
class Simulation {
 public:
  explicit Simulation(size_t senders) : views_(senders), queues_(senders) {
    for (auto& it : views_) it.resize(kShards);
    for (auto& it : queues_) it.resize(kShards);
    servers_.resize(kShards);
  }

  InTime Run(Millis span) {
    InTime share;
    std::vector<std::unique_ptr<Query>> lookups;
    std::vector<std::unique_ptr<Query>> urgent;
    ScheduleArrivals(kLookup, span, &lookups);
    ScheduleArrivals(kUrgent, span, &urgent);
    while (!events_.empty()) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    share.lookups = ShareInTime(lookups);
    share.urgent = ShareInTime(urgent);
    return share;
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
  struct Server {
    size_t busy = 0;
    std::queue<Part> waiting;
  };
  using Queue = std::map<std::tuple<bool, double, uint64_t>, Part>;

  static double ShareInTime(
      const std::vector<std::unique_ptr<Query>>& queries) {
    const auto good =
        std::count_if(queries.begin(), queries.end(),
                      [](auto& it) { return it->in_time >= kNeeded; });
    return static_cast<double>(good) / static_cast<double>(queries.size());
  }

  void ScheduleAt(Millis when, std::function<void()> run) {
    events_.push({when, ++number_, std::move(run)});
  }

  void ScheduleArrivals(const QueryKind& kind, Millis span,
                        std::vector<std::unique_ptr<Query>>* queries) {
    constexpr double kMilli = 1000;
    const Millis gap(kMilli / kind.per_second);
    for (Millis at{0}; at < span;
         at += gap * (0.2 + 1.6 * random_.Fraction())) {
      queries->push_back(std::make_unique<Query>(Query{at + kind.target}));
      ScheduleAt(at, [this, query = queries->back().get(), work = kind.work] {
        StartQuery(query, work);
      });
    }
  }

  void StartQuery(Query* query, Millis work) {
    const size_t sender = next_sender_++ % queues_.size();
    for (size_t i = 0; i < kShards; ++i) {
      Part part{query, i, sender, work * (0.6 + 0.8 * random_.Fraction()),
                now_};
      part.id = AttemptId(++number_);
      queues_[sender][i].emplace(std::tuple(false, query->due.count, number_),
                                 part);
      SendQueued(sender, i);
    }
  }

  // Late parts are queued behind the others, as in the queue of an instance.
  void SendQueued(size_t sender, size_t shard) {
    auto& queue = queues_[sender][shard];
    auto& view = views_[sender][shard];
    while (!queue.empty() && CanAcceptAttempt(view, policy_, now_)) {
      auto node = queue.extract(queue.begin());
      auto& [late, due, number] = node.key();
      if (!late && Millis(due) < now_) {
        late = true;
        queue.insert(std::move(node));
        continue;
      }
      Part part = node.mapped();
      part.sent = now_;
      RecordSent(&view, {part.id, now_, now_ + kMedianLatency * 4});
      Serve(part);
    }
  }

  void Serve(const Part& part) {
    auto& server = servers_[part.shard];
    if (server.busy == kSlots) {
      server.waiting.push(part);
      return;
    }
    ++server.busy;
    ScheduleAt(now_ + part.work, [this, part] { Finish(part); });
  }

  void Finish(const Part& part) {
    auto& server = servers_[part.shard];
    --server.busy;
    if (now_ <= part.query->due) ++part.query->in_time;
    RecordReply(&views_[part.sender][part.shard], part.id, now_ - part.sent,
                kMedianLatency, policy_, now_);
    if (!server.waiting.empty()) {
      const Part next = server.waiting.front();
      server.waiting.pop();
      Serve(next);
    }
    SendQueued(part.sender, part.shard);
  }

  const ChoicePolicy policy_;
  Random random_{7};
  Millis now_;
  uint64_t number_ = 0;
  size_t next_sender_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::vector<ServerView>> views_;
  std::vector<std::vector<Queue>> queues_;
  std::vector<Server> servers_;
};

// A data centre is unreachable, and with it one of two servers of each shard;
// the others are loaded to 0.97 of their capacity. If five instances send, each
// keeps an attempt open at every server, and urgent queries are late behind
// slow ones. If one sends for all, they are not, and lookups are no worse.
BOOST_AUTO_TEST_CASE(SingleQueueKeepsUrgentQueriesInTime) {
  const InTime apart = Simulation(5).Run(Millis(8000));
  const InTime together = Simulation(1).Run(Millis(8000));
  BOOST_TEST_MESSAGE("share in time with five senders: lookups "
                     << apart.lookups << ", urgent " << apart.urgent
                     << "; with one: lookups " << together.lookups
                     << ", urgent " << together.urgent);
  BOOST_TEST(together.urgent > apart.urgent + 0.2);
  BOOST_TEST(together.lookups > apart.lookups - 0.02);
}

}  // namespace
}  // namespace hibiscuspick::engine
