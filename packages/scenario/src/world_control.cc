// Membership, configuration and the watch of the platform.
#include <spdlog/fmt/fmt.h>

#include <utility>

#include "hibiscuspick/platform/watch_loop.h"
#include "hibiscuspick/scenario/world.h"

namespace hibiscuspick::scenario {
namespace {

// A watch is told of a change within its own round trip; asking this often
// comes to the same on virtual time.
constexpr Millis kWatchInterval{50};

// After this long a connect that gets no answer has failed.
constexpr Millis kConnectTimeout{1000};

}  // namespace

void World::StepControl(Node* node, const membership::Event& event) {
  const auto actions =
      membership::Step(&node->control, event, now(), &node->random);
  for (const auto& it : actions) Perform(node, it);
}

void World::TickControl(Node* node) {
  StepControl(node, membership::Tick{});
  LaterOnNode(node, now() + node->control.limits.tick,
              [this, node] { TickControl(node); });
}

void World::Perform(Node* node, const membership::Action& action) {
  if (const auto* send = std::get_if<membership::SendTo>(&action)) {
    SendGossip(node, *send);
  } else if (const auto* view = std::get_if<membership::PublishView>(&action)) {
    node->members = view->view;
    Rebuild(node);
  } else if (const auto* it = std::get_if<membership::ApplyConfig>(&action)) {
    for (const auto& name : it->changed) {
      const auto& object = node->control.config.objects.at(name);
      CheckConfig(*node, name, object.version);
    }
    node->configuration = settings::BuildConfiguration(
        node->control.config, node->configuration.get());
    Rebuild(node);
  } else if (std::holds_alternative<membership::StartWatching>(action)) {
    if (node->watching) return;
    node->watching = true;
    WatchPlatform(node);
  } else if (std::holds_alternative<membership::StopWatching>(action)) {
    node->watching = false;
  } else if (const auto* alarm = std::get_if<membership::Alarm>(&action)) {
    ++alarms_;
    Note(fmt::format("{} alarms: {}", node->id.text, alarm->error.message));
  }
}

void World::CheckConfig(const Node& node, const std::string& name,
                        Revision version) {
  const auto it = node.configuration->objects.find(name);
  const Revision before =
      it == node.configuration->objects.end() ? Revision() : it->second.version;
  if (version < before) {
    Break(fmt::format("{} goes back in {} from {} to {}", node.id.text, name,
                      before.value, version.value));
  }
  Note(fmt::format("{} has {} at {}", node.id.text, name, version.value));
}

void World::SendGossip(Node* node, const membership::SendTo& send) {
  InstanceId to = send.peer.id;
  if (to.empty()) {
    const size_t i = send.peer.address.port - 8201U;
    if (i >= nodes_.size()) return;
    to = nodes_[i]->id;
  }
  const InstanceId from = node->id;
  Deliver(
      node, to,
      [this, from, message = send.message](Node* receiver) {
        StepControl(receiver, membership::MessageFrom{from, message});
      },
      false);
}

void World::Rebuild(Node* node) {
  node->view = daemon::MakeTrafficView(node->configuration, node->members);
  ConfigureGroups(node);
  for (const auto& [id, news] : node->members->servers) {
    for (auto& [service, group] : node->groups) {
      GroupActions actions;
      limits::ApplyDrainReport(&group.state, id, news.incarnation,
                               news.draining, now(), &node->random, &actions);
      Carry(node, service, actions);
    }
  }
  if (daemon::IsConfigured(*node->view) && !node->serving) {
    node->serving = true;
    Note(node->id.text + " serves");
    StepControl(node, membership::SelfPhase{membership::Phase::kServing});
  }
}

void World::WatchPlatform(Node* node) {
  if (!node->watching) return;
  if (!platform_.down && Reaches(node->data_centre.text, kPlatformSite) &&
      Reaches(kPlatformSite, node->data_centre.text)) {
    const Revision known = node->control.config.complete_to;
    const auto calls = CallsOf(&platform_, [] { return true; });
    const auto changes =
        calls.watch(platform::kConfigKind, known, kWatchInterval);
    // An empty platform has nothing to say yet.
    if (IsOk(changes) && ValueOf(changes).complete_to != Revision()) {
      StepControl(node, membership::WatchedConfig{
                            platform::ToDelta(known, ValueOf(changes)), known});
    }
  }
  LaterOnNode(node, now() + kWatchInterval,
              [this, node] { WatchPlatform(node); });
}

void World::Deliver(Node* from, const InstanceId& to,
                    const std::function<void(Node*)>& action,
                    bool tells_failure) {
  Node* receiver = FindNode(to.text);
  const std::string& here = from->data_centre.text;
  const std::string& there = receiver->data_centre.text;
  const Millis delay = DelayOf(network_, here, there);
  const bool passes = Reaches(here, there);
  const auto fail = [this, from, to, life = from->life, tells_failure] {
    OnNode(from, life, [this, from, to, tells_failure] {
      StepControl(from, membership::PeerFailed{to});
      if (!tells_failure) return;
      std::vector<QueryId> ids;
      for (const auto& [id, it] : from->queries) ids.push_back(id);
      for (const auto id : ids) StepQuery(from, id, routing::PeerFailed{to});
    });
  };
  if (!passes) {
    schedule_.After(kConnectTimeout, fail);
    return;
  }
  schedule_.After(delay, [this, receiver, action, fail, delay] {
    if (!receiver->alive) {
      schedule_.After(delay, fail);
      return;
    }
    OnNode(receiver, receiver->life, [action, receiver] { action(receiver); });
  });
}

}  // namespace hibiscuspick::scenario
