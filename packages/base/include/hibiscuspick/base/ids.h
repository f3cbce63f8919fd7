// Strong types for the names and numbers that pass between packages, so that
// a shard's name can never be handed over where a service's is wanted.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hibiscuspick {

// A name of one kind; `Tag` only tells the kinds apart. Compares and hashes as
// its text.
template <class Tag>
struct Name {
  std::string text;

  Name() = default;
  explicit Name(std::string value) : text(std::move(value)) {}
  auto operator<=>(const Name&) const = default;
  bool empty() const { return text.empty(); }
};

// A number of one kind, with 0 for "none".
template <class Tag>
struct Number {
  uint64_t value = 0;

  Number() = default;
  explicit constexpr Number(uint64_t n) : value(n) {}
  auto operator<=>(const Number&) const = default;
};

// The four words of the brief.
using InstanceId = Name<struct InstanceTag>;
using DataCentreId = Name<struct DataCentreTag>;
using CustomerId = Name<struct CustomerTag>;
using BackendServerId = Name<struct BackendServerTag>;

// The account of the callers that share a set of API keys, a priority and an
// allowance.
using ClientAccountId = Name<struct ClientAccountTag>;

using ServiceId = Name<struct ServiceTag>;
using RouteId = Name<struct RouteTag>;
using ShardId = Name<struct ShardTag>;

// The name of a snapshot object, as a route refers to it.
using SnapshotName = Name<struct SnapshotTag>;

// The version of the indexes that X-Snapshot carries. Only rises.
using IndexVersion = Number<struct IndexVersionTag>;

// A version the platform gave: of an object, or of all objects of a kind.
using Revision = Number<struct RevisionTag>;

// Tells two lives of one instance or backend server apart; a later life has
// the higher number.
using Incarnation = Number<struct IncarnationTag>;

// One query, or one part of a query, at the instance that made the number.
using QueryId = Number<struct QueryTag>;
using PartId = Number<struct PartTag>;

// One shard's work at the instance that runs it, and one attempt at it.
using TaskId = Number<struct TaskTag>;
using AttemptId = Number<struct AttemptTag>;

// A connection of this process to a backend server or another instance.
using ChannelId = Number<struct ChannelTag>;

// A connection that a client opened to this process.
using ConnectionId = Number<struct ConnectionTag>;

}  // namespace hibiscuspick

template <class Tag>
struct std::hash<hibiscuspick::Name<Tag>> {
  size_t operator()(const hibiscuspick::Name<Tag>& it) const noexcept {
    return std::hash<std::string>()(it.text);
  }
};

template <class Tag>
struct std::hash<hibiscuspick::Number<Tag>> {
  size_t operator()(const hibiscuspick::Number<Tag>& it) const noexcept {
    return std::hash<uint64_t>()(it.value);
  }
};
