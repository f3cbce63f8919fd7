// A small system in one process on loopback: stand-ins for the platform and the
// backend servers, and daemons between them.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/daemon/daemon.h"
#include "hibiscuspick/http/connection.h"
#include "hibiscuspick/standins/backend_fleet.h"
#include "hibiscuspick/standins/platform_standin.h"
#include "waiting_and_ports.h"

namespace hibiscuspick::daemon {

struct HttpAnswer {
  // 0 if the connection failed.
  int status = 0;
  Json body;
  // With status 0: whether nothing was sent.
  bool refused = false;
};

inline HttpAnswer Call(uint16_t port, httplib::Request request) {
  http::Connection connection({"127.0.0.1", port}, {});
  const auto result = connection.Send(std::move(request), kHangGuard);
  if (!IsOk(result)) {
    return {0, nullptr, ErrorOf(result).code == Code::kConnectFailed};
  }
  const http::Reply& reply = ValueOf(result);
  const auto body = ParseJson(reply.body);
  return {reply.status, IsOk(body) ? ValueOf(body) : Json(reply.body), false};
}

struct FleetShape {
  size_t services = 4;
  size_t servers_per_service = 2;
  // The data centre of each daemon.
  std::vector<std::string> daemons = {"dc-1", "dc-1", "dc-1"};
};

class TestFleet {
 public:
  explicit TestFleet(const FleetShape& shape) : shape_(shape) {
    BOOST_REQUIRE(IsOk(platform.Start("127.0.0.1", 0)));
    standins::FleetOptions options;
    options.base_port = 0;
    options.control_port = 0;
    options.count = shape.services * shape.servers_per_service;
    options.settings.held = {7};
    options.settings.service_time.mean = Millis(1);
    backends = std::make_unique<standins::BackendFleet>(options);
    BOOST_REQUIRE(IsOk(backends->Start()));
    daemons.resize(shape.daemons.size());
    settings.resize(shape.daemons.size());
    for (size_t i = 0; i < daemons.size(); ++i) MakeSettings(i);
    ListInstances();
    for (size_t i = 0; i < daemons.size(); ++i) StartDaemon(i);
  }

  ~TestFleet() {
    for (size_t i = 0; i < daemons.size(); ++i) StopDaemon(i);
  }

  void StartDaemon(size_t i) {
    daemons[i] = std::make_unique<Daemon>(settings[i]);
    BOOST_REQUIRE(IsOk(daemons[i]->Start()));
  }

  // Stops gracefully.
  void StopDaemon(size_t i) {
    if (!daemons[i]) return;
    daemons[i]->Stop(never_abort_);
    daemons[i].reset();
  }

  // Writes services, a snapshot with one shard for each and three routes, and
  // waits until all daemons serve them.
  void Configure() {
    for (size_t s = 0; s < shape_.services; ++s) {
      Put("/v1/services/service-" + std::to_string(s), ServiceObject(s));
    }
    Put("/v1/snapshots/all", SnapshotObject(7));
    PutRoute("fast", "urgent", "latency");
    PutRoute("whole", "interactive", "coverage");
    PutRoute("slow", "bulk", "coverage");
    for (size_t i = 0; i < daemons.size(); ++i) {
      BOOST_REQUIRE(Eventually([&] { return HasObject(i, "routes/slow"); }));
    }
    BOOST_REQUIRE(Eventually([&] { return AllSeeAllServing(); }));
  }

  Json SnapshotObject(uint64_t version) const {
    Json shards = Json::array();
    for (size_t s = 0; s < shape_.services; ++s) {
      shards.push_back({{"shard", "p" + std::to_string(s)},
                        {"service", "service-" + std::to_string(s)},
                        {"documents", 100}});
    }
    return {{"id", "v" + std::to_string(version)},
            {"index_version", version},
            {"shards", shards}};
  }

  HttpAnswer Operate(size_t i, const std::string& method,
                     const std::string& path, const Json& body = nullptr,
                     const std::string& match = "*") {
    auto request =
        http::MakeRequest(method, path, body.is_null() ? "" : DumpJson(body));
    request.set_header("Authorization", "Bearer token");
    if (match == "*") {
      request.set_header("If-None-Match", "*");
    } else {
      request.set_header("If-Match", match);
    }
    return Call(settings[i].operators.port, std::move(request));
  }

  HttpAnswer Query(size_t i, const std::string& route, int deadline_ms = 8000) {
    return Call(settings[i].callers.port,
                http::MakeRequest("POST", "/v1/query/" + route,
                                  DumpJson({{"query", {{"name", "x"}}},
                                            {"deadline_ms", deadline_ms}})));
  }

  HttpAnswer Record(size_t i, const std::string& key) {
    return Call(settings[i].callers.port,
                http::MakeRequest("POST", "/v1/record/service-0",
                                  DumpJson({{"key", key},
                                            {"shard", "p0"},
                                            {"record", {{"claim", 1}}}})));
  }

  Json Status(size_t i) { return Operate(i, "GET", "/v1/status").body; }

  // The version of the object at the daemon; 0 if it has none.
  uint64_t VersionAt(size_t i, const std::string& name) {
    const Json status = Status(i);
    if (!status.is_object()) return 0;
    return status["configuration"]["versions"].value(name, uint64_t{0});
  }
  bool HasObject(size_t i, const std::string& name) {
    return VersionAt(i, name) > 0;
  }

  // Whether each daemon sees all others as serving.
  bool AllSeeAllServing() {
    for (size_t i = 0; i < daemons.size(); ++i) {
      if (daemons[i] && ServingSeenBy(i) != AliveCount()) return false;
    }
    return true;
  }
  size_t AliveCount() const {
    size_t n = 0;
    for (const auto& it : daemons) n += it ? 1 : 0;
    return n;
  }
  size_t ServingSeenBy(size_t i) {
    size_t n = 0;
    const Json status = Status(i);
    if (!status.is_object()) return 0;
    for (const auto& it : status["members"]) {
      if (it["state"] == "serving" && !it["suspect"].get<bool>()) ++n;
    }
    return n;
  }

  standins::BackendStandin& Server(size_t service, size_t replica) {
    return backends->server(service * shape_.servers_per_service + replica);
  }

  void PatchAll(const std::string& text) {
    const Json patch = ValueOf(ParseJson(text));
    for (size_t i = 0; i < backends->size(); ++i) {
      BOOST_REQUIRE(IsOk(backends->server(i).Patch(patch)));
    }
  }

  void SetOutage(standins::Outage outage) {
    standins::PlatformFaults faults;
    faults.outage = outage;
    platform.SetFaults(faults);
  }

  standins::PlatformStandin platform;
  std::unique_ptr<standins::BackendFleet> backends;
  std::vector<settings::DaemonSettings> settings;
  std::vector<std::unique_ptr<Daemon>> daemons;

 private:
  void MakeSettings(size_t i) {
    settings::DaemonSettings& it = settings[i];
    it.instance = InstanceId("i" + std::to_string(i));
    it.data_centre = DataCentreId(shape_.daemons[i]);
    it.callers = {"127.0.0.1", FreePort()};
    it.operators = {"127.0.0.1", FreePort()};
    it.inner = {"127.0.0.1", FreePort()};
    it.platform = {"127.0.0.1", platform.port()};
    it.operator_token = "token";
    it.inner_key = "key";
    it.balancer_lag = Millis(300);
    for (size_t k = 0; k < i; ++k) it.peers.push_back(settings[k].inner);
  }

  void ListInstances() {
    Json list = Json::array();
    for (const auto& it : settings) {
      list.push_back({{"id", it.instance.text},
                      {"address", it.inner.ip},
                      {"inner_port", it.inner.port},
                      {"data_centre", it.data_centre.text},
                      {"state", "live"}});
    }
    platform.SetInstanceList(list);
  }

  Json ServiceObject(size_t s) {
    Json servers = Json::array();
    for (size_t r = 0; r < shape_.servers_per_service; ++r) {
      auto& server = Server(s, r);
      servers.push_back(
          {{"id", server.id()},
           {"address", "127.0.0.1:" + std::to_string(server.port())},
           {"data_centre", shape_.daemons[s % shape_.daemons.size()]},
           {"slots", 2},
           {"max_connections", 25}});
    }
    return {{"backend_servers", servers}};
  }

  void Put(const std::string& path, const Json& body) {
    const auto answer = Operate(0, "PUT", path, body);
    BOOST_REQUIRE_MESSAGE(answer.status == 200,
                          path << ": " << answer.status << answer.body.dump());
  }
  void PutRoute(const std::string& name, const std::string& lane,
                const std::string& prefer) {
    Put("/v1/routes/" + name,
        {{"snapshot", "all"}, {"lane", lane}, {"prefer", prefer}});
  }

  const FleetShape shape_;
  const std::atomic<bool> never_abort_{false};
};

// Compares an answer's coverage and version with its content.
inline void CheckConsistent(const HttpAnswer& answer, uint64_t shards) {
  BOOST_REQUIRE(answer.body.is_object());
  const Json& coverage = answer.body["coverage"];
  BOOST_TEST(coverage["shards_total"] == shards);
  BOOST_TEST(coverage["documents_total"] == shards * 100);
  const uint64_t answered = coverage["shards_answered"];
  BOOST_TEST(coverage["documents_covered"] == answered * 100);
  BOOST_TEST(coverage["missing"].size() == shards - answered);
  const uint64_t version = answer.body["snapshot"]["version"];
  for (const auto& hit : answer.body["hits"]) {
    BOOST_TEST(hit["fields"]["version"] == version);
  }
}

}  // namespace hibiscuspick::daemon
