// Which other data centres can be reached. One thread's.
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

// Tries connections to a data centre that has given no sign for a while: first
// to instances there, then to backend servers too, since all of the instances
// may be down and its servers well. Refusals are no sign: some cuts refuse what
// others swallow. A data centre that is lost is probed until it is heard.
class Prober {
 public:
  using AddressesOf = std::function<std::vector<Address>(const DataCentreId&)>;

  // `active`: a switch, see settings::Mechanisms.
  Prober(Loop* loop, DataCentreId own, bool active = true)
      : loop_(loop), own_(std::move(own)), active_(active) {}

  // `peers`: some instances of each data centre.
  void SetPeers(const std::vector<engine::Peer>& peers);
  // Gives addresses of servers in a data centre.
  void set_servers(AddressesOf servers) { servers_ = std::move(servers); }

  // Told when all others are lost, and when one is back after that.
  void set_on_isolated(std::function<void(bool)> it) {
    on_isolated_ = std::move(it);
  }

  // Something came from there.
  void RecordContact(const DataCentreId& where);
  // A connection there failed or broke. Where others are heard this tells
  // nothing; failures for kQuiet without a word between them are a sign.
  void NoteFailed(const DataCentreId& where);
  // A question sent at `since` is unanswered.
  void Suspect(const DataCentreId& where, Millis since);
  // The same, of one that needs answers from elsewhere.
  void SuspectAll(Millis since);

  bool IsLost(const DataCentreId& where) const;
  // All other data centres are lost.
  bool IsAlone() const;
  // When any other data centre was heard.
  Millis heard_elsewhere() const { return heard_elsewhere_; }

 private:
  struct Place {
    engine::Reachability reach;
    // The first failure since it was heard.
    Millis failed{-1};
    std::vector<Address> peers;
  };

  void Probe(const DataCentreId& where);
  void Try(const DataCentreId& where, const std::vector<Address>& some);
  void End(const DataCentreId& where);
  void NotifyIfIsolated();

  Loop* const loop_;
  const DataCentreId own_;
  const bool active_;
  AddressesOf servers_;
  std::map<DataCentreId, Place> places_;
  Millis heard_elsewhere_{-1};
  std::function<void(bool)> on_isolated_;
  bool notified_isolated_ = false;
};

}  // namespace hibiscuspick::edge
