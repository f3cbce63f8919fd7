// Requests under which servers end: keeps the records of this instance and
// exchanges them with the others. Used by the traffic thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/log_sink.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/edge/backends.h"
#include "hibiscuspick/edge/byte_budget.h"
#include "hibiscuspick/edge/http_session.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_messages.h"
#include "hibiscuspick/edge/quarantine_wire.h"
#include "hibiscuspick/engine/peers.h"
#include "hibiscuspick/engine/request_quarantine.h"
#include "hibiscuspick/engine/traffic_config.h"
#include "hibiscuspick/metrics/registry.h"

namespace hibiscuspick::edge {

class RequestQuarantine {
 public:
  struct Settings {
    DataCentreId data_centre;
    // The mechanism switch; see settings::Mechanisms.
    bool enabled = true;
  };

  // `remote_bytes` counts the bytes of messages to other data centres.
  RequestQuarantine(Loop* loop, Settings settings, Backends* backends,
                    metrics::Registry* registry,
                    const ByteCounters* remote_bytes);

  bool enabled() const { return settings_.enabled; }
  // Whether nothing is known of any request.
  bool IsEmpty() const { return table_.records.empty(); }

  // The other instances that records are exchanged with.
  void SetPeers(const std::vector<engine::Peer>& peers);

  // What is known of the request; nullptr if nothing.
  const engine::QuarantineRecord* Find(
      const engine::RequestFingerprint& request) const;
  engine::Treatment TreatmentOf(
      const engine::RequestFingerprint& request) const;
  // Whether it is being found out whether the request must be quarantined.
  bool IsUndecided(const engine::RequestFingerprint& request) const {
    return undecided_.contains(request);
  }

  // The route, the id of the attempt and the server, for log lines.
  struct EndDetails {
    const RouteId& route;
    const std::string& request_id;
    const BackendServerId& server;
    bool is_fan_out = false;
  };
  void RecordEnd(const engine::RequestFingerprint& request,
                 const engine::EndObservation& seen, const EndDetails& details);
  // Counts a lost connection by what became of its server.
  void CountLostConnection(ServerFate fate);
  // Records that a server completed the request, or a part of it.
  void RecordSurvivor(const engine::RequestFingerprint& request,
                      const ServiceId& service);
  // Records that the request was answered with success.
  void RecordServed(const engine::RequestFingerprint& request);
  void Clear(const engine::RequestFingerprint& request,
             std::string_view reason);
  // Starts to find out whether the ends have another explanation, if that
  // decides about the request. `done` is called when it is decided; not called
  // if this returns false.
  bool CheckBystanders(const engine::RequestFingerprint& request,
                       std::function<void()> done);

  // The report of the request for a peer; empty if there is no record.
  std::string ReportOf(const engine::RequestFingerprint& request) const;
  // Takes the report of a peer about a request that is exchanged with it;
  // returns the servers that it names.
  std::vector<engine::ServerEnd> TakeReport(std::string_view report);

  // Answers the request if it is a message of another instance.
  bool HandleMessage(const std::shared_ptr<HttpSession>& session,
                     const HttpRequest& request);
  // Answers an operator: `GET /quarantine` lists the records, `DELETE
  // /quarantine/FINGERPRINT` removes one here and at the other instances.
  // Returns false for any other request.
  bool HandleOperator(const std::shared_ptr<HttpSession>& session,
                      const HttpRequest& request);

 private:
  void Publish(const engine::RequestFingerprint& request, bool cleared);
  void SendPending();
  // Current reports of the requests.
  QuarantineMessage MessageOf(
      const std::set<engine::RequestFingerprint>& changed,
      const std::set<engine::RequestFingerprint>& cleared) const;
  void Send(const InstanceId& to, const QuarantineMessage& message);
  void SendUnsent(const InstanceId& to);
  void RequestAll();
  void Merge(const QuarantineMessage& message);
  bool MergeReport(const engine::QuarantineReport& report);
  void LogIfQuarantined(const engine::RequestFingerprint& request,
                        const char* source);
  std::string ListText() const;

  Loop* const loop_;
  const Settings settings_;
  Backends* const backends_;
  PeerMessages messages_;
  engine::QuarantineTable table_;
  std::vector<engine::Peer> peers_;
  std::set<engine::RequestFingerprint> undecided_;
  std::set<engine::RequestFingerprint> pending_;
  std::set<engine::RequestFingerprint> pending_cleared_;
  // Reports of other instances to pass on within the data centre.
  std::vector<engine::QuarantineReport> pass_on_;
  // For peers that had too many messages in flight.
  struct Unsent {
    std::set<engine::RequestFingerprint> changed;
    std::set<engine::RequestFingerprint> cleared;
    bool pass_on = false;
  };
  std::map<InstanceId, Unsent> unsent_;
  bool send_posted_ = false;
  bool has_requested_all_ = false;
  ByteBudget byte_budget_;
  Random random_;
  LineBudget end_lines_{5, 50, 50};
  metrics::Counter* const lost_running_;
  metrics::Counter* const lost_ended_;
  metrics::Counter* const lost_unknown_;
  metrics::Counter* const ends_;
  metrics::Counter* const quarantines_;
  metrics::Counter* const cleared_;
};

// Identifies the request among those of its route.
engine::RequestFingerprint FingerprintOf(const HttpRequest& request,
                                         const engine::Route& route);

}  // namespace hibiscuspick::edge
