#include "hibiscuspick/engine/connection_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <random>
#include <string>

#include "hibiscuspick/engine/process_limits.h"

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

using Phase = ConnectionPhase;

struct ClosedRow {
  const char* what;
  // Phase of each connection, in the order in which they entered it.
  std::vector<Phase> phases;
  // Index of the connection to close, -1 for none.
  int closed;
};

std::ostream& operator<<(std::ostream& out, const ClosedRow& row) {
  return out << row.what;
}

const ClosedRow kClosedForNew[] = {
    {"the oldest without a request", {Phase::kReceiving, Phase::kReceiving}, 0},
    {"one without a request before idle ones",
     {Phase::kIdle, Phase::kIdle, Phase::kReceiving},
     2},
    {"the longest idle", {Phase::kServing, Phase::kIdle, Phase::kIdle}, 1},
    {"a closing one first", {Phase::kReceiving, Phase::kClosing}, 1},
    {"none that serves", {Phase::kServing, Phase::kServing}, -1},
};

// Failure: a new connection costs a caller that has work in progress.
BOOST_DATA_TEST_CASE(NewConnectionsCloseTheLeastUseful,
                     bdata::make(kClosedForNew), row) {
  ConnectionTable table({row.phases.size(), 1000});
  uint64_t n = 0;
  for (const Phase it : row.phases) {
    BOOST_TEST(!table.IsFull());
    const ConnectionId id(++n);
    table.Add(id, Millis(0));
    table.SetPhase(id, it, Millis(static_cast<double>(n)));
  }
  BOOST_TEST(table.IsFull());
  const auto closed = table.ToCloseForNew();
  BOOST_TEST((closed ? static_cast<int>(closed->value) - 1 : -1) == row.closed);
}

// Failure: large requests in progress leave no memory for small ones.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveRoomForSmallOnes) {
  ConnectionTable table({100, 1000});
  uint64_t n = 0;
  const auto admit = [&](size_t bytes) {
    const ConnectionId id(++n);
    table.Add(id, Millis(0));
    return table.Admit(id, bytes, Millis(0));
  };
  BOOST_TEST(admit(400));
  BOOST_TEST(!admit(100));
  BOOST_TEST(admit(12));
  table.SetPhase(ConnectionId(1), Phase::kIdle, Millis(1));
  BOOST_TEST(admit(60));
  BOOST_TEST(table.bytes() == 72U);
  for (uint64_t i = 1; i <= n; ++i) table.Remove(ConnectionId(i));
  BOOST_TEST(table.bytes() == 0U);
}

struct CrowdRow {
  const char* what;
  // Connections that misbehaving clients open in a millisecond, and the bytes
  // that each sends at once before it stands still.
  int opened;
  size_t bytes;
  // Whether they leave complete requests unanswered for a second instead.
  bool complete;
};

std::ostream& operator<<(std::ostream& out, const CrowdRow& row) {
  return out << row.what;
}

const CrowdRow kCrowds[] = {
    {"nobody", 0, 0, false},
    {"idle", 20, 0, false},
    {"small parts", 20, 500, false},
    {"large parts", 5, 300000, false},
    {"complete requests", 5, 500000, true},
};

// A listener on virtual time. Its own sum of what is held is the oracle.
struct CrowdPlay {
  static constexpr size_t kBytes = 16 << 20;
  static constexpr size_t kConnections = 1000;

  explicit CrowdPlay(uint64_t seed) : random(seed) {}

  void Close(ConnectionId id) {
    table.Remove(id);
    held.erase(id);
    honest.erase(id);
  }
  std::optional<ConnectionId> Open(Millis now) {
    while (held.size() >= kConnections) {
      const auto closed = table.ToCloseForNew();
      if (!closed) return std::nullopt;
      Close(*closed);
    }
    const ConnectionId id(++last_id);
    table.Add(id, now);
    held[id] = 0;
    return id;
  }
  void Receive(ConnectionId id, size_t bytes) {
    held[id] += bytes;
    table.SetBuffered(id, held[id]);
  }
  void Complete(ConnectionId id, Millis now) {
    table.SetBuffered(id, 0);
    if (!table.Admit(id, held[id], now)) Close(id);
  }
  size_t Sum() const {
    size_t sum = 0;
    for (const auto& [id, bytes] : held) sum += bytes;
    return sum;
  }

  std::mt19937_64 random;
  ConnectionTable table{{kConnections, kBytes}};
  uint64_t last_id = 0;
  std::map<ConnectionId, size_t> held;
  // When each request of an ordinary caller began.
  std::map<ConnectionId, int> honest;
};

// Failure: a crowd holds more than the limits, or pushes ordinary callers out.
BOOST_DATA_TEST_CASE(CrowdsLeaveOrdinaryCallersAlone,
                     bdata::make(kCrowds) * bdata::make({1, 2, 3}), row, seed) {
  constexpr int kSpan = 3000;
  constexpr int kReceiveTime = 4;
  constexpr int kServiceTime = 30;
  CrowdPlay play(static_cast<uint64_t>(seed));
  std::map<ConnectionId, int> complete;
  int sent = 0;
  int served = 0;
  for (int t = 0; t < kSpan; ++t) {
    const Millis now(t);
    for (int i = 0; i < row.opened; ++i) {
      const auto id = play.Open(now);
      if (!id) continue;
      play.Receive(*id, row.bytes);
      if (row.complete) play.Complete(*id, now);
      if (play.held.contains(*id)) complete[*id] = t;
    }
    std::erase_if(complete, [&](auto& it) {
      if (t - it.second < 1000) return false;
      if (row.complete && play.held.contains(it.first)) play.Close(it.first);
      return true;
    });
    if (play.random() % 2 == 0) {
      ++sent;
      if (const auto id = play.Open(now)) play.honest[*id] = t;
    }
    const auto honest = play.honest;
    for (const auto& [id, began] : honest) {
      if (t - began < kReceiveTime) {
        play.Receive(id, 256);
      } else if (t - began == kReceiveTime) {
        play.Complete(id, now);
      } else if (t - began == kReceiveTime + kServiceTime) {
        ++served;
        play.Close(id);
      }
    }
    for (const auto id : play.table.ToCloseForBytes(now)) play.Close(id);
    BOOST_TEST_REQUIRE(play.Sum() <= CrowdPlay::kBytes);
    BOOST_TEST_REQUIRE(play.held.size() <= CrowdPlay::kConnections);
  }
  const int unfinished = static_cast<int>(play.honest.size());
  BOOST_TEST(served + unfinished >= 0.99 * sent);
}

// Failure: the listeners together may use up the process.
BOOST_DATA_TEST_CASE(ListenersLeaveAQuarter,
                     bdata::make({64, 300, 1024, 4100, 65536}), descriptors) {
  ProcessLimits process;
  process.descriptors = static_cast<size_t>(descriptors);
  const auto limits = DivideAmongListeners(process);
  size_t connections = 0;
  size_t bytes = 0;
  for (const auto& it : {limits.callers, limits.peer_queries, limits.updates,
                         limits.readiness}) {
    BOOST_TEST(it.connections > 0U);
    connections += it.connections;
    bytes += it.bytes;
  }
  BOOST_TEST(4 * connections <= 3 * process.descriptors);
  BOOST_TEST(4 * bytes <= 3 * process.memory_bytes);
}

}  // namespace
}  // namespace hibiscuspick::engine
