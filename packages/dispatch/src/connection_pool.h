// The pool of connections to one backend server.
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

// Totals over all pools of an executor.
struct ConnectionCounters {
  std::atomic<uint64_t> opened{0};
  std::atomic<uint64_t> open{0};
};

// Provides idle connections, the most recently used first, or new ones. The
// group bounds the attempts in flight; the pool only keeps cancels and
// connections opened in advance within this instance's share.
class ConnectionPool {
 public:
  ConnectionPool(const Address& address, http::ConnectionLimits limits,
                 ConnectionCounters* counters);
  ~ConnectionPool();

  const Address& address() const { return address_; }

  // Sets the limits for connections made from now on.
  void Configure(int share, Millis connect_timeout);

  // Returns a connection for an attempt.
  std::shared_ptr<http::Connection> Take();

  // Returns an unused connection, for a record. The server may close an idle
  // one just as the record is sent; its outcome would then be unknown although
  // it never arrived.
  std::shared_ptr<http::Connection> TakeFresh();

  // Returns a connection for a cancel, or null if the share is used up.
  std::shared_ptr<http::Connection> TakeForCancel();

  // Returns a new connection to open in advance, or null if the share is used
  // up.
  std::shared_ptr<http::Connection> TakeForPreconnect();

  // Returns a connection to the pool after a complete reply.
  void Return(std::shared_ptr<http::Connection> connection);

  // Closes a connection that must not be reused.
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
