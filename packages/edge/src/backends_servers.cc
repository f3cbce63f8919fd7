// Updates of the server list and of evacuated data centres.
#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "backends_impl.h"
#include "hibiscuspick/base/log.h"

namespace hibiscuspick::edge {

void ReadIdleTimeout(const HttpReply& reply, Millis* idle_timeout) {
  constexpr std::string_view kKey = "timeout=";
  constexpr double kSecond = 1000;
  const std::string_view value = FindHeader(reply.headers, "Keep-Alive");
  const size_t at = value.find(kKey);
  if (at == std::string_view::npos) return;
  int seconds = 0;
  const char* begin = value.data() + at + kKey.size();
  const auto read =
      std::from_chars(begin, value.data() + value.size(), seconds);
  if (read.ec == std::errc() && seconds > 0) {
    *idle_timeout = Millis(seconds * kSecond);
  }
}

namespace {

// Whether the entry describes the known server and not another instance under
// the same id. Statistics, reachability and draining state apply to one
// instance only: a server restarted under its id does not answer requests sent
// to its predecessor, and would get no requests if the predecessor was draining
// or unreachable.
bool IsSameServer(const engine::ServerEntry& known,
                  const engine::ServerEntry& entry) {
  return known.incarnation == entry.incarnation &&
         known.service == entry.service && known.address == entry.address;
}

}  // namespace

std::shared_ptr<Backends::Server> Backends::AddServer(
    const engine::ServerEntry& entry) {
  auto server = std::make_shared<Server>();
  server->view.entry = entry;
  StateOf(entry.service).servers.push_back(server);
  servers_[entry.id] = server;
  return server;
}

void Backends::RemoveServer(const std::shared_ptr<Server>& server) {
  if (!server->view.removed) {
    Log(Part::kBackend)
        .info("server {} removed from the server list",
              server->view.entry.id.text);
  }
  server->view.removed = true;
  CloseIdleChannels(server);
  EraseIfUnused(server);
}

void Backends::SetServers(const std::vector<engine::ServerEntry>& entries) {
  const Millis now = loop_->now();
  ++generation_;
  std::unordered_set<BackendServerId> present;
  for (const auto& entry : entries) {
    present.insert(entry.id);
    const auto found = servers_.find(entry.id);
    auto server = found == servers_.end() ? nullptr : found->second;
    if (server && !IsSameServer(server->view.entry, entry)) {
      RemoveServer(server);
      server = nullptr;
    }
    const bool is_new = !server;
    if (is_new) {
      server = AddServer(entry);
    } else if (server->view.entry == entry && !server->view.removed) {
      continue;
    }
    server->view.removed = false;
    server->view.entry = entry;
    server->view.warm_at = now + entry.warmup_left;
    server->view.draining = server->view.draining || entry.draining;
    Log(Part::kBackend)
        .info("server {} of service {} at {} is {}{}", entry.id.text,
              entry.service.text, ToText(entry.address),
              is_new ? "new" : "changed", entry.draining ? ", draining" : "");
    if (server->view.draining) CloseIdleChannels(server);
    ScheduleDispatch(entry.service);
  }
  std::vector<std::shared_ptr<Server>> gone;
  for (const auto& [id, server] : servers_) {
    if (!present.contains(id)) gone.push_back(server);
  }
  for (const auto& it : gone) RemoveServer(it);
}

void Backends::SetEvacuated(std::set<DataCentreId> data_centres) {
  ++generation_;
  const auto before = std::exchange(evacuated_, std::move(data_centres));
  for (const auto& [id, server] : servers_) {
    const bool reopened = before.contains(server->view.entry.data_centre) &&
                          !IsEvacuated(*server);
    if (reopened) AssumeCold(server.get());
    if (reopened && server->view.unreachable) ScheduleProbe(server);
  }
  for (const auto& [id, state] : services_) ScheduleDispatch(id);
}

bool Backends::IsEvacuated(const Server& server) const {
  return evacuated_.contains(server.view.entry.data_centre);
}

bool Backends::IsEvacuated(const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  bool any = false;
  for (const auto& it : found->second->servers) {
    if (it->view.removed || it->view.draining) continue;
    if (!IsEvacuated(*it)) return false;
    any = true;
  }
  return any;
}

std::vector<DataCentreId> Backends::DataCentresOf(
    const std::vector<ServiceId>& services,
    const engine::AllowedDataCentres& allowed_data_centres) const {
  std::map<DataCentreId, size_t> counts;
  for (const auto& service : services) {
    const auto found = services_.find(service);
    if (found == services_.end()) continue;
    std::set<DataCentreId> data_centres;
    for (const auto& it : found->second->servers) {
      const auto& data_centre = it->view.entry.data_centre;
      if (it->view.removed || IsEvacuated(*it)) continue;
      if (engine::IsAllowed(allowed_data_centres, data_centre)) {
        data_centres.insert(data_centre);
      }
    }
    for (const auto& it : data_centres) ++counts[it];
  }
  size_t max_count = 0;
  for (const auto& [data_centre, n] : counts) {
    max_count = std::max(max_count, n);
  }
  std::vector<DataCentreId> all;
  // A data centre that lacks a few shards will do: those are queried in other
  // data centres.
  constexpr double kMinShardFraction = 0.9;
  for (const auto& [data_centre, n] : counts) {
    if (static_cast<double>(n) >=
        kMinShardFraction * static_cast<double>(max_count)) {
      all.push_back(data_centre);
    }
  }
  return all;
}

std::vector<DataCentreId> Backends::DataCentresOfService(
    const ServiceId& service,
    const engine::AllowedDataCentres& allowed_data_centres) const {
  std::vector<DataCentreId> data_centres;
  const auto found = services_.find(service);
  if (found == services_.end()) return data_centres;
  for (const auto& it : found->second->servers) {
    const auto& view = it->view;
    if (!MayServe(*it, allowed_data_centres) ||
        engine::IsPauseSuspected(view, loop_->now())) {
      continue;
    }
    const auto& data_centre = view.entry.data_centre;
    if (std::find(data_centres.begin(), data_centres.end(), data_centre) ==
        data_centres.end()) {
      data_centres.push_back(data_centre);
    }
  }
  return data_centres;
}

// Closes the idle connections.
void Backends::CloseIdleChannels(const std::shared_ptr<Server>& server) {
  for (auto& it : std::exchange(server->idle, {})) it->Close();
}

// Deletes a removed server once its last attempt has ended.
void Backends::EraseIfUnused(const std::shared_ptr<Server>& server) {
  if (!server->view.removed || !server->view.open_attempts.empty()) return;
  auto& servers = StateOf(server->view.entry.service).servers;
  std::erase(servers, server);
  const auto listed = servers_.find(server->view.entry.id);
  // Another server may be listed under its id by now.
  if (listed != servers_.end() && listed->second == server) {
    servers_.erase(listed);
  }
}

}  // namespace hibiscuspick::edge
