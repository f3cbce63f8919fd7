// Simulates a cluster of control cores on virtual time: a network with delays,
// loss and partitions, a platform with one version counter, and processes that
// pause, crash and restart. Deterministic for a given seed.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/membership/control_core.h"

namespace hibiscuspick::membership::testing {

// Messages and bytes of one instance since the counters were cleared.
struct Traffic {
  uint64_t messages = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
};

struct SimulatedNode {
  MemberState self;
  ControlState control;
  bool alive = false;
  bool paused = false;
  bool watching = false;
  ViewPointer view;
  // Messages received during a pause.
  std::vector<std::pair<InstanceId, GossipMessage>> pending_messages;
  // Highest versions seen in this incarnation, to detect one that decreases.
  std::map<std::string, Revision> versions;
  Revision complete_to;
  bool regressed = false;
  // Live nodes that this node wrongly reported as suspect or as gone.
  size_t false_suspicions = 0;
  size_t false_deaths = 0;
  size_t alarms = 0;
  Traffic traffic;
};

// Whether to drop a message from the first node to the second.
using CutRule = std::function<bool(const SimulatedNode&, const SimulatedNode&)>;

class Fleet {
 public:
  explicit Fleet(uint64_t seed) : random_(seed) {}

  // Parameters, set before the first Add.
  ControlLimits limits;
  double loss = 0;
  CutRule cut;
  // Size of a message in bytes; sizes are counted if set.
  std::function<size_t(const GossipMessage&)> size_of;
  bool platform_up = true;
  // Whether the platform's list of instances is available; it does not lag.
  bool list_up = true;

  SimulatedNode& Add(const std::string& id, const std::string& data_centre) {
    auto node = std::make_unique<SimulatedNode>();
    node->self.id = InstanceId(id);
    node->self.data_centre = DataCentreId(data_centre);
    node->self.inner = {"10.0.0.1", static_cast<uint16_t>(1000 + count_++)};
    auto& result = *node;
    nodes_[result.self.id] = std::move(node);
    Start(&result);
    return result;
  }

  // Adds `count` nodes in each of `data_centres` data centres: "d0-0" and so
  // on.
  void AddMany(size_t data_centres, size_t count) {
    for (size_t d = 0; d < data_centres; ++d) {
      for (size_t i = 0; i < count; ++i) {
        const auto name = "d" + std::to_string(d);
        Add(name + "-" + std::to_string(i), name);
      }
    }
  }

  SimulatedNode& at(const std::string& id) {
    return *nodes_.at(InstanceId(id));
  }
  std::map<InstanceId, std::unique_ptr<SimulatedNode>>& nodes() {
    return nodes_;
  }
  Millis now() const { return now_; }
  Random& random() { return random_; }

  void Kill(SimulatedNode* node) {
    node->alive = false;
    ++incarnations_[node->self.id];
  }

  // Starts a new incarnation of a dead node, without any of its state.
  void Start(SimulatedNode* node) {
    const uint64_t incarnation = ++incarnations_[node->self.id];
    node->self.incarnation = Incarnation(1000000 + incarnation);
    node->self.phase = Phase::kStarting;
    node->control = StartControl(node->self, Seeds(*node), limits);
    node->alive = true;
    node->paused = false;
    node->watching = false;
    node->pending_messages.clear();
    node->versions.clear();
    node->complete_to = Revision();
    ScheduleTick(node, incarnation,
                 Millis(random_.Fraction() * limits.tick.count));
  }

  void Pause(SimulatedNode* node) { node->paused = true; }
  void Wake(SimulatedNode* node) {
    node->paused = false;
    auto pending = std::exchange(node->pending_messages, {});
    for (auto& [from, message] : pending) {
      Feed(node, MessageFrom{from, std::move(message)});
    }
  }

  // Writes an object to the platform, as an operator does by one node.
  Revision Write(SimulatedNode* node, const std::string& name,
                 const std::string& text) {
    const Revision version(++platform_revision_);
    settings::ConfigObject object{name, version, text};
    platform_[name] = object;
    Feed(node, AcceptedConfig{{Revision(), Revision(), {std::move(object)}}});
    return version;
  }

  // Writes an object to the platform that no node learns of except by watching.
  Revision WriteAtPlatform(const std::string& name, const std::string& text) {
    const Revision version(++platform_revision_);
    platform_[name] = {name, version, text};
    return version;
  }

  void Feed(SimulatedNode* node, const Event& event) {
    if (!node->alive || node->paused) return;
    auto actions = Step(&node->control, event, now_, &random_);
    for (auto& it : actions) {
      std::visit([&](auto& action) { Act(node, &action); }, it);
    }
    CheckConfig(node);
  }

  void RunFor(Millis span) {
    const Millis end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  // Runs until the condition holds, at most for `limit`. Returns the time it
  // took, or kNever.
  Millis RunUntil(const std::function<bool()>& done, Millis limit,
                  Millis step = Millis(10)) {
    const Millis start = now_;
    while (now_ - start < limit) {
      if (done()) return now_ - start;
      RunFor(step);
    }
    return done() ? now_ - start : kNever;
  }

  bool All(const std::function<bool(const SimulatedNode&)>& holds) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& it) {
      return !it.second->alive || holds(*it.second);
    });
  }

  // Whether each live node's view has exactly the live nodes, none of them
  // suspect.
  bool Converged() const {
    size_t alive = 0;
    for (const auto& [id, it] : nodes_) alive += it->alive ? 1 : 0;
    return All([&](const auto& node) {
      if (!node.view || node.view->members.size() != alive) return false;
      return std::all_of(node.view->members.begin(), node.view->members.end(),
                         [&](const auto& it) {
                           return !it.second.suspect &&
                                  nodes_.at(it.first)->alive;
                         });
    });
  }

  // Whether all live nodes have the platform's configuration.
  bool ConfigAgrees() const {
    return All([&](const auto& node) {
      if (node.control.config.objects.size() != platform_.size()) return false;
      return std::equal(
          platform_.begin(), platform_.end(),
          node.control.config.objects.begin(),
          [](const auto& a, const auto& b) { return a.second == b.second; });
    });
  }

  bool NeverRegressed() const {
    return All([](const auto& node) { return !node.regressed; });
  }

 private:
  struct Scheduled {
    Millis at;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Scheduled& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void Schedule(Millis delay, std::function<void()> run) {
    events_.push({now_ + delay, next_++, std::move(run)});
  }

  // The seeds of a settings file: all instances of the node's own data centre
  // and the first two of each other one.
  std::vector<Address> Seeds(const SimulatedNode& node) const {
    std::map<DataCentreId, size_t> counts;
    std::vector<Address> seeds;
    for (const auto& [id, it] : nodes_) {
      const bool wanted = it->self.data_centre == node.self.data_centre ||
                          counts[it->self.data_centre] < 2;
      ++counts[it->self.data_centre];
      if (wanted) seeds.push_back(it->self.inner);
    }
    return seeds;
  }

  bool IsCurrentIncarnation(const SimulatedNode& node,
                            uint64_t incarnation) const {
    return node.alive && incarnations_.at(node.self.id) == incarnation;
  }

  void ScheduleTick(SimulatedNode* node, uint64_t incarnation, Millis delay) {
    Schedule(delay, [this, node, incarnation] {
      if (!IsCurrentIncarnation(*node, incarnation)) return;
      Feed(node, Tick{});
      if (!node->paused && node->watching) PollPlatform(node);
      if (!node->paused && IsConfigured(node->control)) {
        Feed(node, SelfPhase{Phase::kServing});
      }
      ScheduleTick(node, incarnation, limits.tick);
    });
  }

  void PollPlatform(SimulatedNode* node) {
    if (!platform_up) return;
    const Revision known = node->control.config.complete_to;
    settings::ConfigDelta delta{known, Revision(platform_revision_), {}};
    for (const auto& [name, it] : platform_) {
      if (it.version > known) delta.objects.push_back(it);
    }
    Feed(node, WatchedConfig{std::move(delta), known});
    if (!list_up) return;
    PlatformList list;
    for (const auto& [id, it] : nodes_) {
      if (it->alive) {
        list.instances.push_back(
            {id, it->self.inner, it->self.data_centre, false});
      }
    }
    Feed(node, std::move(list));
  }

  SimulatedNode* Find(const Peer& peer) {
    if (!peer.id.empty()) {
      const auto it = nodes_.find(peer.id);
      return it == nodes_.end() ? nullptr : it->second.get();
    }
    for (const auto& [id, it] : nodes_) {
      if (it->self.inner == peer.address) return it.get();
    }
    return nullptr;
  }

  void Act(SimulatedNode* node, SendTo* action) {
    auto* to = Find(action->peer);
    const size_t size = size_of ? size_of(action->message) : 0;
    ++node->traffic.messages;
    node->traffic.bytes_sent += size;
    const bool lost = cut && to != nullptr && cut(*node, *to);
    if (to == nullptr || !to->alive || lost) {
      const auto id = action->peer.id;
      Schedule(Millis(20), [this, node, id] { Feed(node, PeerFailed{id}); });
      return;
    }
    if (random_.Fraction() < loss) return;
    const bool same_data_centre =
        to->self.data_centre == node->self.data_centre;
    const Millis delay((same_data_centre ? 0.3 : 3.0) + random_.Fraction());
    const uint64_t incarnation = incarnations_.at(to->self.id);
    Schedule(delay, [this, to, incarnation, from = node->self.id, size,
                     message = std::move(action->message)] {
      if (!IsCurrentIncarnation(*to, incarnation)) return;
      to->traffic.bytes_received += size;
      if (to->paused) {
        to->pending_messages.emplace_back(from, message);
      } else {
        Feed(to, MessageFrom{from, message});
      }
    });
  }
  void Act(SimulatedNode* node, PublishView* action) {
    node->view = std::move(action->view);
  }
  void Act(SimulatedNode* node, StartWatching* /*action*/) {
    node->watching = true;
  }
  void Act(SimulatedNode* node, StopWatching* /*action*/) {
    node->watching = false;
  }
  void Act(SimulatedNode* node, MemberChange* action) {
    const auto it = nodes_.find(action->id);
    if (it == nodes_.end() || !it->second->alive) return;
    if (action->what == "is silent") ++node->false_suspicions;
    if (action->what == "is gone") ++node->false_deaths;
  }
  void Act(SimulatedNode* node, Alarm* /*action*/) { ++node->alarms; }
  void Act(SimulatedNode* node, AdoptIncarnation* action) {
    node->self.incarnation = action->incarnation;
  }
  void Act(SimulatedNode* /*node*/, ApplyConfig* /*action*/) {}

  static void CheckConfig(SimulatedNode* node) {
    const auto& config = node->control.config;
    if (config.complete_to < node->complete_to) node->regressed = true;
    node->complete_to = config.complete_to;
    if (config.objects.size() < node->versions.size()) node->regressed = true;
    for (const auto& [name, it] : config.objects) {
      auto& version = node->versions[name];
      if (it.version < version) node->regressed = true;
      version = it.version;
    }
  }

  Random random_;
  Millis now_{0};
  uint64_t next_ = 0;
  size_t count_ = 0;
  std::priority_queue<Scheduled> events_;
  std::map<InstanceId, std::unique_ptr<SimulatedNode>> nodes_;
  std::map<InstanceId, uint64_t> incarnations_;
  uint64_t platform_revision_ = 0;
  std::map<std::string, settings::ConfigObject> platform_;
};

}  // namespace hibiscuspick::membership::testing
