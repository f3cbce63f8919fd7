// The allowances of client accounts on the traffic thread: both sides, and the
// context that they get from configuration, settings and instance lists.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/edge/allowance_client.h"
#include "hibiscuspick/edge/allowance_server.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_messages.h"
#include "hibiscuspick/engine/counting_instance.h"
#include "hibiscuspick/engine/peers.h"
#include "hibiscuspick/engine/traffic_config.h"

namespace hibiscuspick::edge {

// The instances that count requests, as the instance lists give them.
struct CountingInstances {
  InstanceId own;
  // The number of instances that allowances are divided by, this one included,
  // and the number of those before this one. 0 instances while the list is
  // incomplete.
  size_t instances = 0;
  size_t rank = 0;
  // Whether this instance may use its share; see engine::HasShare.
  bool has_share = true;
  engine::CandidatesByDataCentre candidates;
  // The candidates' addresses.
  std::vector<engine::Peer> peers;
  auto operator<=>(const CountingInstances&) const = default;
};

class AccountAllowances {
 public:
  struct Settings {
    DataCentreId data_centre;
    engine::AllowanceBounds bounds;
    // The mechanism switch; see settings::Mechanisms.
    bool active = true;
  };

  AccountAllowances(Loop* loop, Settings settings,
                    const ByteCounters* remote_bytes)
      : settings_(std::move(settings)),
        messages_(loop, settings_.data_centre, remote_bytes),
        server_(loop, &messages_),
        client_(loop, &messages_, &server_) {}

  void SetConfig(std::shared_ptr<const engine::TrafficConfig> config);
  void SetInstances(CountingInstances instances);
  // Calls `done` once what was last set is in force at the counting instances.
  void WhenSettled(std::function<void()> done);

  // Whether any account of the configuration is held to an allowance. If not,
  // nothing is counted and no message is sent.
  bool IsEnabled() const { return enabled_; }
  AllowanceClient& client() { return client_; }
  const AllowanceClient& client() const { return client_; }
  AllowanceServer& server() { return server_; }

 private:
  bool IsWanted() const;
  void UpdateContexts();

  const Settings settings_;
  PeerMessages messages_;
  AllowanceServer server_;
  AllowanceClient client_;
  std::shared_ptr<const engine::TrafficConfig> config_;
  CountingInstances instances_;
  bool enabled_ = false;
};

}  // namespace hibiscuspick::edge
