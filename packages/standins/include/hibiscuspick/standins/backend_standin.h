// A server that stands in for one backend server: slots, a queue, limits on
// connections, work that is waited for rather than computed, and faults.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/standins/backend_settings.h"
#include "hibiscuspick/standins/backend_stats.h"
#include "hibiscuspick/standins/slots.h"

namespace hibiscuspick::standins {

class BackendStandin {
 public:
  // `seed` fixes the service times and the chance of faults.
  BackendStandin(std::string id, const BackendSettings& settings,
                 uint64_t seed);
  ~BackendStandin();

  // Port 0 takes any free port, which a later Revive uses again. Errors:
  // kConnectFailed.
  Result<Done> Start(const std::string& ip, uint16_t port);

  // Closes the listener and all connections at once; what ran is gone.
  void Kill();
  // Starts again on the same port, with the next incarnation.
  Result<Done> Revive();
  bool alive() const { return server_ != nullptr; }

  const std::string& id() const { return id_; }
  uint16_t port() const { return port_; }

  // Errors: kInvalidValue, as PatchSettings.
  Result<Done> Patch(const Json& patch);
  Json settings();
  BackendStats stats();
  void ResetStats();

 private:
  struct Attempt;
  struct Entry;

  void AddCalls();
  bool OpenConnection(socket_t sock);
  void CloseConnection(socket_t sock);
  void HandleWork(const httplib::Request& request, httplib::Response& response);
  void RunWork(const Entry& entry, httplib::Response& response);
  void AnswerWork(const Entry& entry, const Attempt& attempt,
                  uint64_t documents, httplib::Response& response);
  void StartRunning(Ticket ticket);
  void LeaveSlots(Ticket ticket);
  void HandleCancel(const httplib::Request& request,
                    httplib::Response& response);
  void HandleLoad(httplib::Response& response);
  // The headers that every reply to work carries.
  void Mark(const Entry& entry, httplib::Response& response);

  const std::string id_;
  std::string ip_;
  uint16_t port_ = 0;

  std::mutex mutex_;
  // Ends waits for connection set-up and of silent replies.
  std::condition_variable stopped_;
  bool stopping_ = false;
  BackendSettings settings_;
  BackendStats stats_;
  Random random_;
  Slots slots_;
  Ticket last_ticket_ = 0;
  uint64_t incarnation_ = 0;
  Millis started_at_;
  Millis drained_at_ = kNever;
  std::unordered_map<Ticket, Attempt*> attempts_;
  std::unordered_map<std::string, Ticket> by_attempt_id_;
  std::unordered_set<socket_t> connections_;
  struct LoadFigures {
    Millis taken_at{-1e18};
    size_t running = 0;
    size_t queued = 0;
  } load_;
  // Last, so that its threads end before what they use.
  std::unique_ptr<http::Server> server_;
};

}  // namespace hibiscuspick::standins
