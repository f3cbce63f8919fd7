// Detects which other data centres are reachable. Used by one thread only.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/engine/peers.h"
#include "hibiscuspick/engine/reachability.h"

namespace hibiscuspick::edge {

// Probes a data centre that has not replied for a while by opening TCP
// connections: first to instances there, then also to backend servers, since
// all instances may be down while the servers are up. A refused connection is
// not taken as contact, since some network partitions refuse connections and
// others drop them. An unreachable data centre is probed until it replies.
class Prober {
 public:
  using AddressesOf = std::function<std::vector<Address>(const DataCentreId&)>;

  // `active`: the mechanism switch; see settings::Mechanisms.
  Prober(Loop* loop, DataCentreId own, bool active = true)
      : loop_(loop), own_(std::move(own)), active_(active) {}

  // `peers`: some instances of each data centre.
  void SetPeers(const std::vector<engine::Peer>& peers);
  // `servers` returns addresses of backend servers in a data centre.
  void set_servers(AddressesOf servers) { servers_ = std::move(servers); }

  // Callback invoked with true when all other data centres have become
  // unreachable, and with false when one is reachable again.
  void set_on_isolated(std::function<void(bool)> it) {
    on_isolated_ = std::move(it);
  }

  // Records that data was received from the data centre.
  void RecordContact(const DataCentreId& data_centre);
  // Records a failed connection. It is ignored while the data centre replies to
  // others; failures for kSilenceThreshold without contact start a probe.
  void RecordFailure(const DataCentreId& data_centre);
  // A request sent at `since` is unanswered: starts a probe if the data centre
  // has been quiet for long enough.
  void Suspect(const DataCentreId& data_centre, Millis since);
  // The same for a request whose answer depends on other data centres.
  void SuspectAll(Millis since);

  bool IsUnreachable(const DataCentreId& data_centre) const;
  // Whether all other data centres are unreachable.
  bool IsIsolated() const;
  // Time of the last contact with any other data centre.
  Millis last_remote_contact() const { return last_remote_contact_; }

 private:
  struct DataCentreState {
    engine::Reachability reachability;
    // The first failure since the last contact.
    Millis first_failure{-1};
    std::vector<Address> peers;
  };

  void Probe(const DataCentreId& data_centre);
  void TryConnect(const DataCentreId& data_centre,
                  const std::vector<Address>& addresses);
  void FinishProbe(const DataCentreId& data_centre);
  void NotifyIsolation();

  Loop* const loop_;
  const DataCentreId own_;
  const bool active_;
  AddressesOf servers_;
  std::map<DataCentreId, DataCentreState> data_centres_;
  Millis last_remote_contact_{-1};
  std::function<void(bool)> on_isolated_;
  bool notified_isolated_ = false;
};

}  // namespace hibiscuspick::edge
