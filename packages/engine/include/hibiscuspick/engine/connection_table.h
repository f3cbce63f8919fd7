// What the connections of one listener may hold together, and which of them to
// close when they hold more. Each message has limits of its own; without a
// common one, many clients that each stay below these exhaust the process.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

struct ConnectionLimits {
  size_t connections = std::numeric_limits<size_t>::max();
  // Of requests and replies, whole or in part.
  size_t bytes = std::numeric_limits<size_t>::max();
};

// In the order in which connections are closed to make room for another.
enum class ConnectionPhase {
  // The last reply is being delivered.
  kClosing,
  // No complete request yet, or the next one has begun.
  kReceiving,
  // Kept alive after a reply.
  kIdle,
  // A complete request awaits its reply. Never closed for a new connection.
  kServing,
};

class ConnectionTable {
 public:
  explicit ConnectionTable(const ConnectionLimits& limits) : limits_(limits) {}

  void set_limits(const ConnectionLimits& it) { limits_ = it; }
  const ConnectionLimits& limits() const { return limits_; }
  // Raises the limit of bytes so that a message of `bytes` fits.
  void EnsureFits(size_t bytes);

  // Adds a connection in phase kReceiving.
  void Add(ConnectionId id, Millis now);
  void Remove(ConnectionId id);
  // Enters another phase; a request that was admitted ends.
  void SetPhase(ConnectionId id, ConnectionPhase phase, Millis now);
  // Sets the bytes that the connection holds besides an admitted request: parts
  // of a request, bytes behind a request, unsent parts of a reply.
  void SetBuffered(ConnectionId id, size_t bytes);
  // Enters kServing with a complete request that holds `bytes`. False if the
  // request has to be refused; it then counts as one that holds nothing.
  // Admitted requests may hold half of the limit, and each at most an eighth of
  // what is free of that, so that a crowd of large ones leaves room for small
  // ones; a lone request always gets in.
  bool Admit(ConnectionId id, size_t bytes, Millis now);

  size_t size() const { return entries_.size(); }
  size_t bytes() const { return buffered_bytes_ + request_bytes_; }
  bool IsFull() const { return entries_.size() >= limits_.connections; }
  bool IsOverBytes() const { return bytes() > limits_.bytes; }

  // The connection to close for a new one: the one that has been in its phase
  // for longest. None if all serve requests.
  std::optional<ConnectionId> ToCloseForNew() const;
  // The connections to close if the limit of bytes is exceeded, none otherwise:
  // those that have held the most bytes for the longest time, since a client
  // that sends its request at once holds it only briefly. Connections that
  // serve a request are last, and only with bytes beside the request.
  std::vector<ConnectionId> ToCloseForBytes(Millis now) const;

 private:
  struct Entry {
    ConnectionPhase phase = ConnectionPhase::kReceiving;
    Millis since;
    size_t buffered = 0;
    size_t request = 0;
  };
  using Rank = std::tuple<ConnectionPhase, Millis, ConnectionId>;

  static Rank RankOf(ConnectionId id, const Entry& entry) {
    return {entry.phase, entry.since, id};
  }

  ConnectionLimits limits_;
  size_t buffered_bytes_ = 0;
  size_t request_bytes_ = 0;
  std::unordered_map<ConnectionId, Entry> entries_;
  // All but those in phase kServing.
  std::set<Rank> closable_;
};

}  // namespace hibiscuspick::engine
