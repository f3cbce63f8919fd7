// Many backend server stand-ins in one process, on neighbouring ports, and the
// control server by which a test drives them.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/standins/backend_standin.h"

namespace hibiscuspick::standins {

struct FleetOptions {
  std::string ip = "127.0.0.1";
  // Server i listens on base_port + i and is called id_prefix + (first_id + i).
  // 0: any free ports.
  uint16_t base_port = 9101;
  size_t count = 1;
  std::string id_prefix = "b";
  size_t first_id = 1;
  // 0: any free port.
  uint16_t control_port = 9100;
  uint64_t seed = 1;
  BackendSettings settings;
};

class BackendFleet {
 public:
  explicit BackendFleet(const FleetOptions& options);
  ~BackendFleet();

  // Errors: kConnectFailed with the address that can't be used.
  Result<Done> Start();
  void Stop();

  size_t size() const { return servers_.size(); }
  BackendStandin& server(size_t i) { return *servers_[i]; }
  uint16_t control_port() const { return control_.port(); }

 private:
  void AddControlCalls();
  // The servers that a name stands for: an id, or "all".
  std::vector<BackendStandin*> Named(const std::string& name);
  Json Describe(BackendStandin* server);
  void HandleLife(const std::string& name, const std::string& action,
                  httplib::Response& response);
  void HandleRecords(const httplib::Request& request,
                     httplib::Response& response);

  const FleetOptions options_;
  std::vector<std::unique_ptr<BackendStandin>> servers_;
  // Kill and Revive are not for two threads at once.
  std::mutex life_mutex_;
  http::Server control_;
};

}  // namespace hibiscuspick::standins
