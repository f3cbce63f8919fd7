#include "hibiscuspick/standins/backend_fleet.h"

#include <utility>

#include "http_json.h"

namespace hibiscuspick::standins {

BackendFleet::BackendFleet(const FleetOptions& options)
    : options_(options), control_({}) {
  for (size_t i = 0; i < options.count; ++i) {
    const std::string id =
        options.id_prefix + std::to_string(options.first_id + i);
    // Seeds far apart, so that the servers' draws don't run in step.
    const uint64_t seed = options.seed * 1000003 + i;
    servers_.push_back(
        std::make_unique<BackendStandin>(id, options.settings, seed));
  }
  AddControlCalls();
}

BackendFleet::~BackendFleet() { Stop(); }

Result<Done> BackendFleet::Start() {
  const std::lock_guard lock(life_mutex_);
  for (size_t i = 0; i < servers_.size(); ++i) {
    const size_t port = options_.base_port == 0 ? 0 : options_.base_port + i;
    if (port > UINT16_MAX) {
      return Error{Code::kConnectFailed, std::to_string(port),
                   "beyond the last port"};
    }
    auto started = servers_[i]->Start(options_.ip, static_cast<uint16_t>(port));
    if (!IsOk(started)) return started;
  }
  return control_.Start(options_.ip, options_.control_port);
}

void BackendFleet::Stop() {
  control_.Stop();
  const std::lock_guard lock(life_mutex_);
  for (const auto& it : servers_) it->Kill();
}

std::vector<BackendStandin*> BackendFleet::Named(const std::string& name) {
  std::vector<BackendStandin*> found;
  for (const auto& it : servers_) {
    if (name == "all" || name == it->id()) found.push_back(it.get());
  }
  return found;
}

Json BackendFleet::Describe(BackendStandin* server) {
  return {{"id", server->id()},
          {"port", server->port()},
          {"alive", server->alive()},
          {"settings", server->settings()},
          {"stats", StatsJson(server->stats())}};
}

void BackendFleet::AddControlCalls() {
  control_.Get("/control/servers", [this](const auto&, auto& out) {
    const std::lock_guard lock(life_mutex_);
    Json list = Json::array();
    for (const auto& it : servers_) list.push_back(Describe(it.get()));
    Answer(out, 200, list);
  });
  control_.Get("/control/servers/([^/]+)", [this](const auto& in, auto& out) {
    const std::lock_guard lock(life_mutex_);
    const auto found = Named(in.matches[1]);
    if (found.empty()) return AnswerError(out, 404, "no such server");
    Answer(out, 200, Describe(found.front()));
  });
  control_.Put("/control/servers/([^/]+)", [this](const auto& in, auto& out) {
    const auto patch = ParseJson(in.body);
    if (!IsOk(patch)) return AnswerError(out, 400, ErrorOf(patch).message);
    const auto found = Named(in.matches[1]);
    if (found.empty()) return AnswerError(out, 404, "no such server");
    for (BackendStandin* it : found) {
      const auto done = it->Patch(ValueOf(patch));
      if (IsOk(done)) continue;
      const Error& error = ErrorOf(done);
      return AnswerError(out, 400, error.place + ": " + error.message);
    }
    Answer(out, 200, Json{{"changed", found.size()}});
  });
  control_.Post("/control/servers/([^/]+)/(kill|revive|reset)",
                [this](const auto& in, auto& out) {
                  HandleLife(in.matches[1], in.matches[2], out);
                });
  control_.Get("/control/stats", [this](const auto&, auto& out) {
    BackendStats total;
    for (const auto& it : servers_) AddStats(&total, it->stats());
    Answer(out, 200, StatsJson(total));
  });
  control_.Get("/control/records",
               [this](const auto& in, auto& out) { HandleRecords(in, out); });
}

void BackendFleet::HandleLife(const std::string& name,
                              const std::string& action,
                              httplib::Response& response) {
  const std::lock_guard lock(life_mutex_);
  const auto found = Named(name);
  if (found.empty()) return AnswerError(response, 404, "no such server");
  for (BackendStandin* it : found) {
    if (action == "kill") it->Kill();
    if (action == "reset") it->ResetStats();
    if (action != "revive") continue;
    const auto revived = it->Revive();
    if (!IsOk(revived)) {
      return AnswerError(response, 500, ErrorOf(revived).message);
    }
  }
  Answer(response, 200, Json{{"changed", found.size()}});
}

void BackendFleet::HandleRecords(const httplib::Request& request,
                                 httplib::Response& response) {
  BackendStats total;
  for (const auto& it : servers_) AddStats(&total, it->stats());
  if (!request.has_param("key")) {
    uint64_t most = 0;
    for (const auto& [key, n] : total.records) most = std::max(most, n);
    return Answer(response, 200,
                  Json{{"keys", total.records.size()}, {"most", most}});
  }
  const std::string key = request.get_param_value("key");
  const auto it = total.records.find(key);
  const uint64_t n = it == total.records.end() ? 0 : it->second;
  Answer(response, 200, Json{{"key", key}, {"executions", n}});
}

}  // namespace hibiscuspick::standins
