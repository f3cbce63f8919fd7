#include "hibiscuspick/engine/connection_table.h"

#include <algorithm>

namespace hibiscuspick::engine {
namespace {

// Of the limit, for admitted requests. The rest is for those that are being
// received.
constexpr size_t kRequestsFraction = 2;

// Of what is free, for one request.
constexpr size_t kMaxRequestFraction = 8;

// Closing goes on until an eighth of the limit is free, so that the table isn't
// searched again for each read.
constexpr size_t kFreedFraction = 8;

struct Candidate {
  ConnectionId id;
  bool is_serving = false;
  // Bytes times the time for which they have been held at most, in ms.
  double cost = 0;
  size_t bytes = 0;
};

}  // namespace

void ConnectionTable::EnsureFits(size_t bytes) {
  limits_.bytes = std::max(limits_.bytes, bytes);
}

void ConnectionTable::Add(ConnectionId id, Millis now) {
  auto& entry = entries_[id];
  entry.since = now;
  closable_.insert(RankOf(id, entry));
}

void ConnectionTable::Remove(ConnectionId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  closable_.erase(RankOf(id, found->second));
  buffered_bytes_ -= found->second.buffered;
  request_bytes_ -= found->second.request;
  entries_.erase(found);
}

void ConnectionTable::SetPhase(ConnectionId id, ConnectionPhase phase,
                               Millis now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  auto& entry = found->second;
  closable_.erase(RankOf(id, entry));
  request_bytes_ -= entry.request;
  entry.request = 0;
  entry.phase = phase;
  entry.since = now;
  if (phase != ConnectionPhase::kServing) closable_.insert(RankOf(id, entry));
}

void ConnectionTable::SetBuffered(ConnectionId id, size_t bytes) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  buffered_bytes_ += bytes - found->second.buffered;
  found->second.buffered = bytes;
}

bool ConnectionTable::Admit(ConnectionId id, size_t bytes, Millis now) {
  SetPhase(id, ConnectionPhase::kServing, now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return true;
  const size_t limit = limits_.bytes / kRequestsFraction;
  const size_t free = limit - std::min(limit, request_bytes_);
  if (request_bytes_ > 0 && bytes > free / kMaxRequestFraction) return false;
  found->second.request = bytes;
  request_bytes_ += bytes;
  return true;
}

std::optional<ConnectionId> ConnectionTable::ToCloseForNew() const {
  if (closable_.empty()) return std::nullopt;
  return std::get<ConnectionId>(*closable_.begin());
}

std::vector<ConnectionId> ConnectionTable::ToCloseForBytes(Millis now) const {
  std::vector<ConnectionId> closed;
  if (!IsOverBytes()) return closed;
  std::vector<Candidate> candidates;
  for (const auto& [id, entry] : entries_) {
    if (entry.buffered == 0) continue;
    const double held = (now - entry.since).count + 1;
    candidates.push_back({id, entry.phase == ConnectionPhase::kServing,
                          static_cast<double>(entry.buffered) * held,
                          entry.buffered});
  }
  std::sort(candidates.begin(), candidates.end(), [](auto& a, auto& b) {
    return std::tuple(a.is_serving, -a.cost, a.id) <
           std::tuple(b.is_serving, -b.cost, b.id);
  });
  const size_t target = limits_.bytes - limits_.bytes / kFreedFraction;
  size_t left = bytes();
  for (const auto& it : candidates) {
    if (left <= target) break;
    left -= it.bytes;
    closed.push_back(it.id);
  }
  return closed;
}

}  // namespace hibiscuspick::engine
