#include "hibiscuspick/standins/backend_standin.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "backend_attempt.h"
#include "http_json.h"

namespace hibiscuspick::standins {
namespace {

http::ServerLimits BackendLimits() {
  http::ServerLimits limits;
  // Threads, not the limit the stand-in plays: a connection over that has to
  // be taken before it can be closed.
  limits.max_connections = 4096;
  limits.idle_timeout = Millis(600000);
  return limits;
}

}  // namespace

BackendStandin::BackendStandin(std::string id, const BackendSettings& settings,
                               uint64_t seed)
    : id_(std::move(id)), settings_(settings), random_(seed) {}

BackendStandin::~BackendStandin() { Kill(); }

Result<Done> BackendStandin::Start(const std::string& ip, uint16_t port) {
  ip_ = ip;
  port_ = port;
  return Revive();
}

Result<Done> BackendStandin::Revive() {
  if (alive()) return Done{};
  {
    const std::lock_guard lock(mutex_);
    stopping_ = false;
    slots_.count = settings_.slots;
    slots_.max_queue = settings_.max_queue;
    started_at_ = SteadyNow();
    ++incarnation_;
  }
  server_ = std::make_unique<http::Server>(BackendLimits());
  server_->SetConnectionHooks(
      {[this](socket_t sock) { return OpenConnection(sock); },
       [this](socket_t sock) { CloseConnection(sock); }});
  AddCalls();
  auto started = server_->Start(ip_, port_);
  if (!IsOk(started)) {
    server_.reset();
    return started;
  }
  port_ = server_->port();
  return Done{};
}

void BackendStandin::Kill() {
  if (!alive()) return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const socket_t it : connections_) ::shutdown(it, SHUT_RDWR);
    for (auto& [ticket, attempt] : attempts_) attempt->wake.notify_all();
  }
  stopped_.notify_all();
  server_->Stop();
  server_.reset();
}

void BackendStandin::AddCalls() {
  // One pattern for each method: the library tries them in turn as regular
  // expressions, and these calls come thousands of times a second.
  server_->Post(".*",
                [this](const auto& in, auto& out) { HandleWork(in, out); });
  server_->Delete(".*",
                  [this](const auto& in, auto& out) { HandleCancel(in, out); });
  server_->Get("/v1/health", [this](const auto&, auto& out) {
    const std::lock_guard lock(mutex_);
    Answer(out, 200,
           Json{{"status", settings_.draining ? "draining" : "ok"},
                {"server", id_}});
  });
  server_->Get("/v1/load", [this](const auto&, auto& out) { HandleLoad(out); });
}

bool BackendStandin::OpenConnection(socket_t sock) {
  std::unique_lock lock(mutex_);
  ++stats_.connections_opened;
  if (stopping_ || connections_.size() >= settings_.max_connections) {
    ++stats_.connections_refused;
    return false;
  }
  connections_.insert(sock);
  stats_.connections_now = connections_.size();
  stats_.connections_most =
      std::max(stats_.connections_most, stats_.connections_now);
  if (settings_.connection_setup > Millis(0)) {
    stopped_.wait_for(lock, settings_.connection_setup.ToMicros(),
                      [this] { return stopping_; });
  }
  return !stopping_;
}

void BackendStandin::CloseConnection(socket_t sock) {
  const std::lock_guard lock(mutex_);
  connections_.erase(sock);
  stats_.connections_now = connections_.size();
}

void BackendStandin::HandleLoad(httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  const Millis now = SteadyNow();
  if (now - load_.taken_at >= settings_.load_lag) {
    load_ = {now, slots_.running.size(), slots_.queue.size()};
  }
  const uint64_t running = settings_.reported_load.value_or(load_.running);
  Answer(response, 200,
         Json{{"running", running},
              {"queued", load_.queued},
              {"slots", settings_.slots}});
}

Result<Done> BackendStandin::Patch(const Json& patch) {
  const std::lock_guard lock(mutex_);
  const bool was_draining = settings_.draining;
  auto done = PatchSettings(&settings_, patch);
  if (!IsOk(done)) return done;
  slots_.count = settings_.slots;
  slots_.max_queue = settings_.max_queue;
  while (const auto next = StartNext(slots_)) StartRunning(*next);
  if (settings_.draining && !was_draining) {
    drained_at_ = SteadyNow();
    stats_.arrived_draining = 0;
    stats_.last_arrival_after_drain = Millis(0);
  }
  return Done{};
}

Json BackendStandin::settings() {
  const std::lock_guard lock(mutex_);
  return SettingsJson(settings_);
}

BackendStats BackendStandin::stats() {
  const std::lock_guard lock(mutex_);
  stats_.running_now = slots_.running.size();
  stats_.queued_now = slots_.queue.size();
  return stats_;
}

void BackendStandin::ResetStats() {
  const std::lock_guard lock(mutex_);
  stats_ = BackendStats{};
  stats_.connections_now = connections_.size();
  stats_.connections_most = connections_.size();
}

}  // namespace hibiscuspick::standins
