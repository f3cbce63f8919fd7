// The drain state of backend servers as known to all instances. One report from
// any source suffices, and an old report cannot end a drain: of two reports the
// one with the higher (round, incarnation, draining) wins.
//
// A drain whose source does not know the incarnation, such as an operator's
// command while the platform is down, ranks above every incarnation of its
// round. Otherwise the next reply of the draining server, which does name its
// incarnation, would look like that of a new incarnation and end the drain.
// Only an operator can revoke such a drain.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "hibiscuspick/base/ids.h"

namespace hibiscuspick::membership {

struct DrainReport {
  BackendServerId server;
  // 0 if the source did not name one (the header is optional).
  Incarnation incarnation;
  // Incremented when an operator revokes a drain without a new incarnation.
  uint64_t round = 0;
  bool draining = false;

  bool operator==(const DrainReport&) const = default;
};

// Whether `a` replaces `b`.
bool Replaces(const DrainReport& a, const DrainReport& b);

using DrainTable = std::map<BackendServerId, DrainReport>;

// Merges a report; returns whether it was newer.
bool MergeDrainReport(DrainTable* table, const DrainReport& report);

// Returns the report by which an operator revokes a drain in the table: the
// next round, not draining.
DrainReport MakeUndrainReport(const DrainTable& table,
                              const BackendServerId& server);

// Buckets of a digest, as for members.
inline constexpr size_t kServerBuckets = 16;
using ServerBuckets = std::array<uint32_t, kServerBuckets>;
size_t ServerBucketOf(const BackendServerId& id);
ServerBuckets BucketsOf(const DrainTable& table);

}  // namespace hibiscuspick::membership
