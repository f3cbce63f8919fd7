// The connections to one backend server.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/http/connection.h"

namespace hibiscuspick::dispatch {

// Counted over all pools of an executor.
struct ConnectionCounters {
  std::atomic<uint64_t> opened{0};
  std::atomic<uint64_t> open{0};
};

// Hands out connections that are idle, the one used last first, and makes new
// ones. How many attempts run at once is the group's business; this only keeps
// cancels and preparation from going over the share.
class ConnectionPool {
 public:
  ConnectionPool(const Address& address, http::ConnectionLimits limits,
                 ConnectionCounters* counters);
  ~ConnectionPool();

  const Address& address() const { return address_; }

  // What the settings allow, for connections made from now on.
  void Configure(int share, Millis connect_timeout);

  // A connection for an attempt.
  std::shared_ptr<http::Connection> Take();

  // One that was never used. For records: an idle one may have been closed by
  // the server this very moment, and the record's outcome would be unknown
  // though it never arrived.
  std::shared_ptr<http::Connection> TakeFresh();

  // One for a cancel, or none if the share is used up.
  std::shared_ptr<http::Connection> TakeSpare();

  // A new one to be opened ahead, or none if the share is used up.
  std::shared_ptr<http::Connection> TakeToWarm();

  // Gives back a connection whose reply was read whole.
  void Return(std::shared_ptr<http::Connection> connection);

  // Gives back one that must not be used again.
  void Discard(const std::shared_ptr<http::Connection>& connection);

 private:
  struct Idle {
    std::shared_ptr<http::Connection> connection;
    Millis since;
  };

  std::shared_ptr<http::Connection> Make();
  std::shared_ptr<http::Connection> PopIdle();

  const Address address_;
  ConnectionCounters* const counters_;
  std::mutex mutex_;
  http::ConnectionLimits limits_;
  std::vector<Idle> idle_;
  int open_ = 0;
  int share_ = 1;
};

}  // namespace hibiscuspick::dispatch
