// Per-server, per-service and per-attempt state of Backends.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {

// Idle timeout assumed of a server that does not state one.
inline constexpr Millis kDefaultIdleTimeout{5000};

// Interval at which open attempts are checked for silent servers.
inline constexpr Millis kSilenceCheckInterval{100};

struct Backends::Server : std::enable_shared_from_this<Backends::Server> {
  engine::ServerView view;
  std::vector<std::shared_ptr<HttpChannel>> idle;
  Millis idle_timeout = kDefaultIdleTimeout;
  // Time of the last reply or successful connect.
  Millis last_contact{-1};
  bool probing = false;
  // When a check found that its process has ended.
  Millis ended_at{-1e9};
  // Requests that wait for the check in progress.
  struct CheckWaiter {
    std::string request_id;
    std::function<void(const ServerCheck&)> done;
  };
  std::vector<CheckWaiter> check_waiters;
  // By the evidence of all senders; see engine::kBadBelief.
  bool believed_bad = false;
};

// The shards of one fan-out, whose servers have a common prior.
struct Backends::EvidenceGroup {
  std::vector<ServiceState*> services;
  engine::EvidencePrior prior;
  Millis prior_at{-1e9};
  engine::MissingParts missing;
  // Whether one part may be spared to probe a bad server.
  bool may_probe = false;
};

struct Backends::ServiceState {
  ServiceId id;
  std::vector<std::shared_ptr<Server>> servers;
  engine::ExtraAttemptBudget extra_budget;
  int reserved_extra_attempts = 0;
  ServiceShare share;
  std::map<QueueKey, QueuedPart> queue;
  // Shared by the shards that are queried together with this service.
  std::shared_ptr<engine::PauseCycle> pause_cycle;
  std::shared_ptr<EvidenceGroup> evidence_group;
  size_t rotation = 0;
  Loop::TimerId dispatch_timer = 0;
  bool dispatch_posted = false;
};

struct Backends::Attempt {
  std::shared_ptr<Server> server;
  std::shared_ptr<HttpChannel> channel;
  AttemptSpec spec;
  Millis sent_at;
  bool was_sent = false;
};

// Reads the idle timeout from the reply's Keep-Alive header, if present.
void ReadIdleTimeout(const HttpReply& reply, Millis* idle_timeout);

}  // namespace hibiscuspick::edge
