// Setting up, load, faults and time.
#include "hibiscuspick/scenario/world.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>
#include <utility>

#include "hibiscuspick/base/hash.h"
#include "hibiscuspick/settings/envelope.h"

namespace hibiscuspick::scenario {
namespace {

// Room between the numbers of two services' servers.
std::string ServerName(size_t service, size_t replica) {
  return fmt::format("s{}-{}", service, replica);
}

std::string ServiceName(size_t service) {
  return fmt::format("service-{}", service);
}

}  // namespace

World::World(const WorldShape& shape) : shape_(shape), random_(shape.seed) {
  for (const auto& centre : shape_.data_centres) {
    for (size_t i = 0; i < shape_.instances_per_data_centre; ++i) {
      auto node = std::make_unique<Node>();
      node->id = InstanceId(fmt::format("{}-{}", centre, i));
      node->data_centre = DataCentreId(centre);
      nodes_.push_back(std::move(node));
    }
  }
  for (size_t s = 0; s < shape_.services; ++s) {
    for (size_t r = 0; r < shape_.servers_per_service; ++r) {
      FakeServer server;
      server.id = BackendServerId(ServerName(s, r));
      server.data_centre =
          DataCentreId(shape_.data_centres[s % shape_.data_centres.size()]);
      server.held = {IndexVersion(1)};
      server.slots = shape_.slots;
      server.mean = shape_.service_time;
      servers_[server.id] = server;
    }
  }
  for (auto& it : nodes_) StartInstance(it->id.text);
}

Node* World::FindNode(const std::string& id) {
  for (auto& it : nodes_) {
    if (it->id.text == id) return it.get();
  }
  return nullptr;
}

FakeServer* World::Server(const std::string& id) {
  const auto it = servers_.find(BackendServerId(id));
  return it == servers_.end() ? nullptr : &it->second;
}

void World::Note(const std::string& text) {
  trace_.push_back(fmt::format("{:.3f} {}", now().count, text));
}

void World::Break(const std::string& text) {
  Note("BROKEN " + text);
  broken_.push_back(trace_.back());
}

void World::OnNode(Node* node, uint64_t life,
                   const std::function<void()>& action) {
  if (!node->alive || node->life != life) return;
  if (now() < node->paused_until) {
    schedule_.At(node->paused_until,
                 [this, node, life, action] { OnNode(node, life, action); });
    return;
  }
  action();
}

void World::LaterOnNode(Node* node, Millis when,
                        const std::function<void()>& action) {
  schedule_.At(when, [this, node, life = node->life, action] {
    OnNode(node, life, action);
  });
}

Json World::SnapshotObject(uint64_t version, uint64_t documents) const {
  Json shards = Json::array();
  for (size_t s = 0; s < shape_.services; ++s) {
    shards.push_back({{"shard", fmt::format("p{}", s)},
                      {"service", ServiceName(s)},
                      {"documents", documents}});
  }
  return {{"id", fmt::format("v{}", version)},
          {"index_version", version},
          {"shards", shards}};
}

void World::Configure() {
  const std::string first = nodes_.front()->id.text;
  for (size_t s = 0; s < shape_.services; ++s) {
    Json servers = Json::array();
    for (size_t r = 0; r < shape_.servers_per_service; ++r) {
      const FakeServer& it = *Server(ServerName(s, r));
      // Nothing listens there: the world looks servers up by id.
      servers.push_back(
          {{"id", it.id.text},
           {"address", fmt::format("127.0.0.1:{}", 9101 + s * 100 + r)},
           {"data_centre", it.data_centre.text},
           {"slots", it.slots},
           {"max_connections", 25}});
    }
    Put(first, "services/" + ServiceName(s), {{"backend_servers", servers}});
  }
  Put(first, "snapshots/all", SnapshotObject(1, 100));
  const std::vector<std::pair<std::string, std::string>> routes = {
      {"urgent", "latency"},
      {"interactive", "latency"},
      {"ordinary", "latency"},
      {"bulk", "coverage"}};
  for (const auto& [lane, prefer] : routes) {
    Put(first, "routes/" + lane,
        {{"snapshot", "all"}, {"lane", lane}, {"prefer", prefer}});
  }
}

platform::WriteState World::Put(const std::string& instance,
                                const std::string& name, const Json& value) {
  Node* node = FindNode(instance);
  const auto calls = CallsOf(&platform_, [this, node] {
    return Reaches(node->data_centre.text, kPlatformSite);
  });
  platform::WriteState write;
  write.write_id = fmt::format("w{}", ++last_write_);
  std::optional<settings::Envelope> present;
  const auto stored = calls.get(platform::kConfigKind, name);
  if (IsOk(stored)) {
    write.expected = ValueOf(stored).version;
    present = ValueOf(settings::ReadEnvelope(ValueOf(stored).value));
  }
  const bool is_snapshot = name.starts_with("snapshots/");
  const auto envelope =
      settings::NextEnvelope(present, write.expected.value_or(Revision()),
                             value, write.write_id, is_snapshot);
  const Json next = settings::ToJson(envelope);
  write = platform::RunWrite(calls, name, next, write, [] {});
  if (write.outcome != platform::WriteOutcome::kAccepted) {
    Note(fmt::format("{} refuses {}", instance, name));
    return write;
  }
  Note(fmt::format("{} accepts {} as {}", instance, name, write.version.value));
  if (is_snapshot) {
    uint64_t documents = 0;
    for (const auto& it : value["shards"]) {
      documents += it["documents"].get<uint64_t>();
    }
    totals_[value["index_version"]] = {documents, value["shards"].size()};
  }
  settings::ConfigDelta delta;
  delta.objects.push_back({name, write.version, DumpJson(next)});
  StepControl(node, membership::AcceptedConfig{delta});
  return write;
}

void World::Load(const std::string& route, double per_second, Millis span,
                 const Json& options) {
  // Fixed arrival times, so that slow answers don't thin out the load.
  const Millis gap(1000 / per_second);
  const auto n = static_cast<size_t>(span.count / gap.count);
  for (size_t i = 0; i < n; ++i) {
    schedule_.After(gap * static_cast<double>(i), [this, i, route, options] {
      std::vector<Node*> serving;
      for (auto& it : nodes_) {
        if (it->alive && !it->leaving) serving.push_back(it.get());
      }
      if (serving.empty()) return;
      Query(serving[i % serving.size()]->id.text, route, options);
    });
  }
}

void World::Cut(const std::string& from, const std::string& to, bool cut) {
  Note(fmt::format("{} from {} to {}", cut ? "cut" : "heals", from, to));
  if (cut) {
    network_.cut.insert({from, to});
  } else {
    network_.cut.erase({from, to});
  }
}

void World::Pause(const std::string& instance, Millis span) {
  Note(fmt::format("{} pauses for {}", instance, span.count));
  FindNode(instance)->paused_until = now() + span;
}

void World::KillInstance(const std::string& instance) {
  Note(instance + " is killed");
  Node* node = FindNode(instance);
  node->alive = false;
  ++node->life;
  for (const auto& [id, query] : node->queries) {
    // Its caller's connection breaks; nothing is promised of its outcome.
    queries_.erase(query.number);
  }
}

void World::StartInstance(const std::string& instance) {
  Node* node = FindNode(instance);
  const InstanceId id = node->id;
  const DataCentreId centre = node->data_centre;
  const uint64_t life = node->life + 1;
  *node = Node();
  node->id = id;
  node->data_centre = centre;
  node->life = life;
  node->alive = true;
  node->random = Random(shape_.seed * 1000 + Hash(id.text) % 1000 + life);
  // Start times tell lives apart, as in the daemon.
  node->incarnation =
      Incarnation(1 + static_cast<uint64_t>(now().count) + life);
  membership::MemberState self;
  self.id = id;
  self.data_centre = centre;
  // A place to send to; the world looks nodes up by id or by this port.
  self.inner = {"127.0.0.1", 0};
  std::vector<Address> seeds;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    const Address address{"127.0.0.1", static_cast<uint16_t>(8201 + i)};
    if (nodes_[i].get() == node) {
      self.inner = address;
    } else {
      seeds.push_back(address);
    }
  }
  self.incarnation = node->incarnation;
  node->control = membership::StartControl(self, seeds, {});
  node->configuration = settings::BuildConfiguration(node->control.config);
  auto members = std::make_shared<membership::MembershipView>();
  members->self = id;
  members->data_centre = centre;
  node->members = members;
  node->view = daemon::MakeTrafficView(node->configuration, node->members);
  Note(instance + " starts");
  LaterOnNode(node, now(), [this, node] { TickControl(node); });
}

void World::Leave(const std::string& instance) {
  Note(instance + " leaves");
  Node* node = FindNode(instance);
  node->leaving = true;
  StepControl(node, membership::SelfPhase{membership::Phase::kLeaving});
}

void World::Advance(Millis span) { schedule_.RunUntil(now() + span); }

std::vector<std::string> World::InstanceNames() const {
  std::vector<std::string> names;
  for (const auto& it : nodes_) names.push_back(it->id.text);
  return names;
}

std::vector<std::string> World::ServerNames() const {
  std::vector<std::string> names;
  for (const auto& [id, it] : servers_) names.push_back(id.text);
  return names;
}

uint64_t World::VersionAt(const std::string& instance,
                          const std::string& name) {
  const auto& objects = FindNode(instance)->control.config.objects;
  const auto it = objects.find(name);
  return it == objects.end() ? 0 : it->second.version.value;
}

bool World::KnowsDraining(const std::string& instance,
                          const std::string& server) {
  return membership::IsDraining(*FindNode(instance)->members,
                                BackendServerId(server));
}

bool World::IsReady(const std::string& instance) {
  const Node* node = FindNode(instance);
  return node->alive && !node->leaving && daemon::IsConfigured(*node->view);
}

}  // namespace hibiscuspick::scenario
