// A small system on virtual time for scenarios: the product's decisions in
// full, with fakes at its four interfaces (platform, backend servers, peers,
// callers). Not a model of machines: no processor time, no bandwidth.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/base/json.h"
#include "hibiscuspick/platform/accept_write.h"
#include "hibiscuspick/scenario/fake_platform.h"
#include "hibiscuspick/scenario/fake_server.h"
#include "hibiscuspick/scenario/network.h"
#include "hibiscuspick/scenario/node.h"
#include "hibiscuspick/scenario/schedule.h"

namespace hibiscuspick::scenario {

struct WorldShape {
  uint64_t seed = 1;
  std::vector<std::string> data_centres = {"a"};
  size_t instances_per_data_centre = 3;
  size_t services = 4;
  size_t servers_per_service = 2;
  int slots = 2;
  Millis service_time{5};
};

// One query's course, as its caller sees it.
struct QueryRecord {
  std::string route;
  Millis sent;
  std::optional<routing::Answer> answer;
  Millis answered;
  // Attempts of it that reached a backend server before the answer.
  uint64_t arrivals = 0;
};

class World {
 public:
  explicit World(const WorldShape& shape);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Setting up. Objects are written through an instance's operators' path.
  void Configure();
  platform::WriteState Put(const std::string& instance, const std::string& name,
                           const Json& value);
  Json SnapshotObject(uint64_t version, uint64_t documents) const;

  // Load.
  uint64_t Query(const std::string& instance, const std::string& route,
                 const Json& options);
  void Load(const std::string& route, double per_second, Millis span,
            const Json& options);

  // Faults.
  void Cut(const std::string& from, const std::string& to, bool cut);
  void Pause(const std::string& instance, Millis span);
  void KillInstance(const std::string& instance);
  void StartInstance(const std::string& instance);
  void Leave(const std::string& instance);
  FakeServer* Server(const std::string& id);
  FakePlatform& platform() { return platform_; }

  // Time.
  void Advance(Millis span);
  Millis now() const { return schedule_.now(); }

  // Looking.
  const std::map<uint64_t, QueryRecord>& queries() const { return queries_; }
  std::vector<std::string> InstanceNames() const;
  std::vector<std::string> ServerNames() const;
  uint64_t VersionAt(const std::string& instance, const std::string& name);
  bool KnowsDraining(const std::string& instance, const std::string& server);
  bool IsReady(const std::string& instance);
  uint64_t alarms() const { return alarms_; }
  // Promises broken so far, each a sentence; checked at every step.
  const std::vector<std::string>& broken() const { return broken_; }
  const std::vector<std::string>& trace() const { return trace_; }

 private:
  using GroupActions = limits::Actions;

  Node* FindNode(const std::string& id);
  void Note(const std::string& text);
  void Break(const std::string& text);
  // Runs the action on the node unless it was replaced meanwhile; later, if it
  // is paused.
  void OnNode(Node* node, uint64_t life, const std::function<void()>& action);
  void LaterOnNode(Node* node, Millis when,
                   const std::function<void()>& action);
  bool Reaches(const std::string& from, const std::string& to) const {
    return Passes(network_, from, to);
  }

  // Control.
  void StepControl(Node* node, const membership::Event& event);
  void Perform(Node* node, const membership::Action& action);
  void SendGossip(Node* node, const membership::SendTo& send);
  void Rebuild(Node* node);
  void TickControl(Node* node);
  void WatchPlatform(Node* node);
  void CheckConfig(const Node& node, const std::string& name, Revision version);

  // Queries and parts.
  void StepQuery(Node* node, QueryId id, const routing::Event& event);
  void Perform(Node* node, QueryId id, const routing::Action& action);
  void WakeQuery(Node* node, QueryId id);
  void SendPart(Node* node, const routing::SendPart& send);
  void CancelPart(Node* node, const routing::CancelPart& cancel);
  void RunPart(Node* node, const limits::PartRequest& part);
  void NoticePart(Node* node, const limits::PartOrigin& origin);
  void CancelRunning(Node* node, const limits::PartOrigin& origin);
  void GiveOutcome(Node* node, const limits::PartOrigin& origin,
                   limits::ShardOutcome outcome);
  void TakeOutcomes(Node* node, PartId part,
                    std::vector<limits::ShardOutcome> outcomes);
  void Deliver(Node* from, const InstanceId& to,
               const std::function<void(Node*)>& action, bool tells_failure);
  void FinishQuery(uint64_t number, const routing::Answer& answer);
  void CheckAnswer(uint64_t number, const routing::Answer& answer);

  // Groups.
  void ConfigureGroups(Node* node);
  void Carry(Node* node, const ServiceId& service, const GroupActions& actions);
  void StartAttempt(Node* node, const ServiceId& service,
                    const limits::StartAttempt& start);
  void SendAttempt(Node* node, const ServiceId& service, AttemptId attempt);
  void EndAttempt(Node* node, const ServiceId& service, AttemptId attempt,
                  const ServerReply& reply);
  void CancelAttempt(Node* node, const ServiceId& service,
                     const limits::CancelAttempt& cancel);
  void FinishTask(Node* node, const ServiceId& service,
                  const limits::TaskDone& done);
  void WakeGroup(Node* node, const ServiceId& service);
  void TakeDrainNews(Node* node, const BackendServerId& server,
                     const ServerReply& reply);
  uint64_t WorkNumber(const Node& node, AttemptId attempt) const;

  const WorldShape shape_;
  Schedule schedule_;
  Random random_;
  Network network_;
  FakePlatform platform_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<BackendServerId, FakeServer> servers_;
  std::map<uint64_t, QueryRecord> queries_;
  uint64_t last_query_ = 0;
  uint64_t last_write_ = 0;
  uint64_t alarms_ = 0;
  // Documents and shards of each index version that was ever written.
  std::map<uint64_t, std::pair<uint64_t, uint64_t>> totals_;
  std::vector<std::string> broken_;
  std::vector<std::string> trace_;
};

}  // namespace hibiscuspick::scenario
