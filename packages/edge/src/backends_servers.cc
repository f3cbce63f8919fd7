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

void NoteIdleTimeout(const HttpReply& reply, Millis* idle_timeout) {
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
  server->belief.entry = entry;
  StateOf(entry.service).servers.push_back(server);
  servers_[entry.id] = server;
  return server;
}

void Backends::RemoveServer(const std::shared_ptr<Server>& server) {
  if (!server->belief.removed) {
    Log(Part::kBackend)
        .info("server {} removed from the server list",
              server->belief.entry.id.text);
  }
  server->belief.removed = true;
  Retire(server);
  Forget(server);
}

void Backends::SetServers(const std::vector<engine::ServerEntry>& entries) {
  const Millis now = loop_->now();
  ++generation_;
  std::unordered_set<BackendServerId> present;
  for (const auto& entry : entries) {
    present.insert(entry.id);
    const auto found = servers_.find(entry.id);
    auto server = found == servers_.end() ? nullptr : found->second;
    if (server && !IsSameServer(server->belief.entry, entry)) {
      RemoveServer(server);
      server = nullptr;
    }
    const bool is_new = !server;
    if (is_new) {
      server = AddServer(entry);
    } else if (server->belief.entry == entry && !server->belief.removed) {
      continue;
    }
    server->belief.removed = false;
    server->belief.entry = entry;
    server->belief.warm_at = now + entry.warmup_left;
    server->belief.draining = server->belief.draining || entry.draining;
    Log(Part::kBackend)
        .info("server {} of service {} at {} is {}{}", entry.id.text,
              entry.service.text, ToText(entry.address),
              is_new ? "new" : "changed", entry.draining ? ", draining" : "");
    if (server->belief.draining) Retire(server);
    PumpSoon(entry.service);
  }
  std::vector<std::shared_ptr<Server>> gone;
  for (const auto& [id, server] : servers_) {
    if (!present.contains(id)) gone.push_back(server);
  }
  for (const auto& it : gone) RemoveServer(it);
}

void Backends::SetEvacuated(std::set<DataCentreId> places) {
  ++generation_;
  const auto before = std::exchange(evacuated_, std::move(places));
  for (const auto& [id, server] : servers_) {
    const bool opened = before.contains(server->belief.entry.data_centre) &&
                        !IsEvacuated(*server);
    if (opened) TakeForCold(server.get());
    if (opened && server->belief.unreachable) Probe(server);
  }
  for (const auto& [id, state] : services_) PumpSoon(id);
}

bool Backends::IsEvacuated(const Server& server) const {
  return evacuated_.contains(server.belief.entry.data_centre);
}

bool Backends::IsEvacuated(const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  bool any = false;
  for (const auto& it : found->second->servers) {
    if (it->belief.removed || it->belief.draining) continue;
    if (!IsEvacuated(*it)) return false;
    any = true;
  }
  return any;
}

std::vector<DataCentreId> Backends::PlacesOf(
    const std::vector<ServiceId>& services,
    const engine::AllowedDataCentres& homes) const {
  std::map<DataCentreId, size_t> counts;
  for (const auto& service : services) {
    const auto found = services_.find(service);
    if (found == services_.end()) continue;
    std::set<DataCentreId> places;
    for (const auto& it : found->second->servers) {
      const auto& where = it->belief.entry.data_centre;
      if (it->belief.removed || IsEvacuated(*it)) continue;
      if (engine::IsAllowed(homes, where)) places.insert(where);
    }
    for (const auto& it : places) ++counts[it];
  }
  size_t most = 0;
  for (const auto& [place, n] : counts) most = std::max(most, n);
  std::vector<DataCentreId> all;
  // A data centre that lacks a few shards will do: those are queried in other
  // data centres.
  constexpr double kNearlyAll = 0.9;
  for (const auto& [place, n] : counts) {
    if (static_cast<double>(n) >= kNearlyAll * static_cast<double>(most)) {
      all.push_back(place);
    }
  }
  return all;
}

std::vector<DataCentreId> Backends::PlacesOfService(
    const ServiceId& service, const engine::AllowedDataCentres& homes) const {
  std::vector<DataCentreId> places;
  const auto found = services_.find(service);
  if (found == services_.end()) return places;
  for (const auto& it : found->second->servers) {
    const auto& belief = it->belief;
    if (!MayServe(*it, homes) ||
        engine::IsPauseSuspected(belief, loop_->now())) {
      continue;
    }
    const auto& place = belief.entry.data_centre;
    if (std::find(places.begin(), places.end(), place) == places.end()) {
      places.push_back(place);
    }
  }
  return places;
}

// Closes the idle connections.
void Backends::Retire(const std::shared_ptr<Server>& server) {
  for (auto& it : std::exchange(server->idle, {})) it->Close();
}

// Deletes a removed server once its last attempt has ended.
void Backends::Forget(const std::shared_ptr<Server>& server) {
  if (!server->belief.removed || !server->belief.open_attempts.empty()) return;
  auto& all = StateOf(server->belief.entry.service).servers;
  std::erase(all, server);
  const auto listed = servers_.find(server->belief.entry.id);
  // Another server may be listed under its id by now.
  if (listed != servers_.end() && listed->second == server) {
    servers_.erase(listed);
  }
}

}  // namespace hibiscuspick::edge
