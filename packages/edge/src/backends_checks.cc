// Finds out whether servers still run whose connections were lost.
#include <algorithm>
#include <memory>
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/edge/backends.h"

namespace hibiscuspick::edge {
namespace {

// Servers that a check of bystanders connects to, of each kind.
constexpr size_t kBystandersOfAKind = 3;

// A server that ended this recently may have ended for the same reason.
constexpr Millis kSameEvent{1000};

}  // namespace

void Backends::CheckServer(const AttemptResult& result,
                           const std::string& request_id,
                           std::function<void(const ServerCheck&)> done) {
  const auto found = servers_.find(result.server);
  const bool is_listed = found != servers_.end() &&
                         &found->second->view == result.view.get() &&
                         !result.view->removed;
  // A server that leaves as planned may end with requests in progress.
  if (!is_listed || result.view->draining) {
    const bool restarted =
        found != servers_.end() && !is_listed &&
        found->second->view.entry.incarnation != result.view->entry.incarnation;
    const ServerCheck check{
        restarted ? ServerFate::kEnded : ServerFate::kUnknown, false};
    loop_->Post([check, done = std::move(done)] { done(check); });
    return;
  }
  const auto server = found->second;
  server->check_waiters.push_back({request_id, std::move(done)});
  if (server->check_waiters.size() > 1) return;
  auto channel = std::make_shared<HttpChannel>(loop_);
  CountRemoteBytes(channel.get(), *server);
  channel->Connect(server->view.entry.address, engine::kServerCheckTimeout,
                   [this, server, channel](bool ok) {
                     if (ok) {
                       KeepChannel(server, channel);
                       FinishServerCheck(server, ServerFate::kRunning);
                       return;
                     }
                     if (!channel->was_refused()) {
                       FinishServerCheck(server, ServerFate::kUnknown);
                       return;
                     }
                     ScheduleProbe(server);
                     FinishServerCheck(server, ServerFate::kEnded);
                   });
}

void Backends::FinishServerCheck(const std::shared_ptr<Server>& server,
                                 ServerFate fate) {
  if (fate == ServerFate::kEnded) server->ended_at = loop_->now();
  const auto waiters = std::exchange(server->check_waiters, {});
  const bool alone = std::all_of(waiters.begin(), waiters.end(), [&](auto& it) {
    return it.request_id == waiters.front().request_id;
  });
  if (fate == ServerFate::kEnded) {
    Log(Part::kBackend)
        .info("server {} of service {} has ended with {} requests in progress",
              server->view.entry.id.text, server->view.entry.service.text,
              waiters.size());
  }
  for (const auto& it : waiters) it.done({fate, alone});
}

std::vector<std::shared_ptr<Backends::Server>> Backends::ChooseBystanders(
    const std::vector<engine::ServerEnd>& ends) {
  const auto is_among = [&](const engine::ServerEntry& entry) {
    const uint64_t key = engine::EvidenceKey(entry.id, entry.incarnation);
    return std::any_of(ends.begin(), ends.end(),
                       [&](auto& it) { return it.server == key; });
  };
  std::set<uint64_t> services;
  for (const auto& it : ends) services.insert(it.service);
  std::set<DataCentreId> data_centres;
  std::vector<std::shared_ptr<Server>> others;
  for (const auto& [id, it] : servers_) {
    if (is_among(it->view.entry)) {
      data_centres.insert(it->view.entry.data_centre);
    } else if (engine::IsAvailable(it->view) && !IsEvacuated(*it)) {
      others.push_back(it);
    }
  }
  if (!others.empty()) {
    const auto offset =
        static_cast<std::ptrdiff_t>(++address_rotation_ % others.size());
    std::rotate(others.begin(), others.begin() + offset, others.end());
  }
  std::vector<std::shared_ptr<Server>> chosen;
  const auto choose = [&](const auto& fits) {
    size_t n = 0;
    for (const auto& it : others) {
      if (n == kBystandersOfAKind) return;
      if (!fits(*it) ||
          std::find(chosen.begin(), chosen.end(), it) != chosen.end()) {
        continue;
      }
      chosen.push_back(it);
      ++n;
    }
  };
  // A lost idle connection is the first sign of a server's end.
  choose([](const Server& it) {
    return std::any_of(it.idle.begin(), it.idle.end(), [](auto& channel) {
      return !channel->IsIdle() || channel->HasEnded();
    });
  });
  choose([&](const Server& it) {
    return data_centres.contains(it.view.entry.data_centre);
  });
  choose([&](const Server& it) {
    return services.contains(engine::ServiceKey(it.view.entry.service));
  });
  return chosen;
}

void Backends::CheckBystanders(const std::vector<engine::ServerEnd>& ends,
                               std::function<void(bool)> done) {
  const Millis now = loop_->now();
  const bool any_known =
      std::any_of(servers_.begin(), servers_.end(), [&](auto& it) {
        const auto& entry = it.second->view.entry;
        const uint64_t key = engine::EvidenceKey(entry.id, entry.incarnation);
        return now - it.second->ended_at < kSameEvent &&
               std::none_of(ends.begin(), ends.end(),
                            [&](auto& end) { return end.server == key; });
      });
  const auto chosen = ChooseBystanders(ends);
  if (any_known || chosen.empty()) {
    loop_->Post([any_known, done = std::move(done)] { done(any_known); });
    return;
  }
  struct Progress {
    size_t open = 0;
    bool any_ended = false;
    std::function<void(bool)> done;
  };
  const auto progress = std::make_shared<Progress>();
  progress->open = chosen.size();
  progress->done = std::move(done);
  for (const auto& server : chosen) {
    auto channel = std::make_shared<HttpChannel>(loop_);
    CountRemoteBytes(channel.get(), *server);
    channel->Connect(server->view.entry.address, engine::kServerCheckTimeout,
                     [this, server, channel, progress](bool ok) {
                       if (ok) {
                         KeepChannel(server, channel);
                       } else if (channel->was_refused()) {
                         server->ended_at = loop_->now();
                         progress->any_ended = true;
                         ScheduleProbe(server);
                       }
                       if (--progress->open == 0) {
                         progress->done(progress->any_ended);
                       }
                     });
  }
}

}  // namespace hibiscuspick::edge
