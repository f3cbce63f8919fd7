// What the fleet knows of backend servers that are leaving. The first sign
// from any source is enough, and old news cannot revive a server: of two
// reports the higher (round, incarnation, draining) wins.
//
// A drain whose source does not know the incarnation, such as an operator's
// word while the platform is down, stands above every incarnation of its
// round. Otherwise the next reply of the very life that is to be drained, which
// does tell its incarnation, would look like a new life and end the drain. Only
// an operator takes such a drain back.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "hibiscuspick/base/ids.h"

namespace hibiscuspick::membership {

struct ServerNews {
  BackendServerId server;
  // 0 if the source did not give one (the header is optional).
  Incarnation incarnation;
  // Raised when an operator says that the server takes work again although
  // nothing shows a new incarnation.
  uint64_t round = 0;
  bool draining = false;

  bool operator==(const ServerNews&) const = default;
};

// Whether `a` replaces `b`.
bool Replaces(const ServerNews& a, const ServerNews& b);

using ServerNewsTable = std::map<BackendServerId, ServerNews>;

// Takes the news if it is newer; true if it was.
bool MergeServer(ServerNewsTable* table, const ServerNews& news);

// The news by which an operator takes back a drain in the table: one round up.
ServerNews UndrainOf(const ServerNewsTable& table,
                     const BackendServerId& server);

// Buckets of a digest, as for members.
inline constexpr size_t kServerBuckets = 16;
using ServerBuckets = std::array<uint32_t, kServerBuckets>;
size_t ServerBucketOf(const BackendServerId& id);
ServerBuckets BucketsOf(const ServerNewsTable& table);

}  // namespace hibiscuspick::membership
