#include "connection_pool.h"

#include <utility>

namespace hibiscuspick::dispatch {
namespace {

// Maximum idle time. Servers close idle connections after a while, and a
// request sent at that moment fails although the server is healthy.
constexpr Millis kMaxIdle{20000};

}  // namespace

ConnectionPool::ConnectionPool(const Address& address,
                               http::ConnectionLimits limits,
                               ConnectionCounters* counters)
    : address_(address), counters_(counters), limits_(limits) {}

ConnectionPool::~ConnectionPool() {
  counters_->open -= static_cast<uint64_t>(open_);
}

void ConnectionPool::Configure(int share, Millis connect_timeout) {
  const std::lock_guard lock(mutex_);
  share_ = share;
  limits_.connect_timeout = connect_timeout;
}

std::shared_ptr<http::Connection> ConnectionPool::Take() {
  const std::lock_guard lock(mutex_);
  auto connection = PopIdle();
  return connection ? connection : Make();
}

std::shared_ptr<http::Connection> ConnectionPool::TakeFresh() {
  const std::lock_guard lock(mutex_);
  if (open_ >= share_ && !idle_.empty()) {
    idle_.erase(idle_.begin());
    --open_;
    --counters_->open;
  }
  return Make();
}

std::shared_ptr<http::Connection> ConnectionPool::TakeForCancel() {
  const std::lock_guard lock(mutex_);
  auto connection = PopIdle();
  if (connection) return connection;
  return open_ < share_ ? Make() : nullptr;
}

std::shared_ptr<http::Connection> ConnectionPool::TakeForPreconnect() {
  const std::lock_guard lock(mutex_);
  return open_ < share_ ? Make() : nullptr;
}

void ConnectionPool::Return(std::shared_ptr<http::Connection> connection) {
  if (!connection->IsOpen()) {
    Discard(connection);
    return;
  }
  const std::lock_guard lock(mutex_);
  idle_.push_back({std::move(connection), SteadyNow()});
}

void ConnectionPool::Discard(
    const std::shared_ptr<http::Connection>& connection) {
  {
    const std::lock_guard lock(mutex_);
    --open_;
    --counters_->open;
  }
  connection->Abort();
}

std::shared_ptr<http::Connection> ConnectionPool::Make() {
  ++open_;
  ++counters_->open;
  ++counters_->opened;
  return std::make_shared<http::Connection>(address_, limits_);
}

std::shared_ptr<http::Connection> ConnectionPool::PopIdle() {
  while (!idle_.empty()) {
    Idle last = std::move(idle_.back());
    idle_.pop_back();
    const bool fresh = SteadyNow() < last.since + kMaxIdle;
    if (fresh && last.connection->IsOpen()) return last.connection;
    --open_;
    --counters_->open;
  }
  return nullptr;
}

}  // namespace hibiscuspick::dispatch
