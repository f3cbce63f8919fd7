// Requests under which backend servers end ("queries of death"): what is known
// of each one, from all its attempts, from other instances and from its
// caller's retries, and whether it may be sent to another server.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::engine {

// A request is sent to no further server once this many have ended under it,
// unless the ends have another explanation.
inline constexpr size_t kMaxServerEnds = 3;

// A server that accepts no connection within this time may have ended or be cut
// off.
inline constexpr Millis kServerCheckTimeout{100};

// Identifies a request independently of the id that its caller gives to each
// attempt.
struct RequestFingerprint {
  uint64_t high = 0;
  uint64_t low = 0;
  auto operator<=>(const RequestFingerprint&) const = default;
};

struct FingerprintHash {
  size_t operator()(const RequestFingerprint& it) const { return it.low; }
};

// What makes two requests the same.
struct RequestContent {
  const RouteId& route;
  const ClientAccountId& account;
  std::string_view method;
  std::string_view target;
  std::string_view body;
};
RequestFingerprint FingerprintOf(const RequestContent& request);

// 32 hexadecimal digits; nullopt if the text is anything else.
std::string ToText(const RequestFingerprint& it);
std::optional<RequestFingerprint> ParseFingerprint(std::string_view text);

// A server process that ended while it had the request.
struct ServerEnd {
  // EvidenceKey of the server, and ServiceKey of its service.
  uint64_t server = 0;
  uint64_t service = 0;
  // This instance had no other request at the server.
  bool alone = false;
  auto operator<=>(const ServerEnd&) const = default;
};
uint64_t ServiceKey(const ServiceId& service);

struct QuarantineRecord {
  // Distinct servers, kMaxEndsKept at most.
  std::vector<ServerEnd> ends;
  // Servers that completed the request, or a part of it.
  size_t survivors = 0;
  // A server ended under a repeat: an attempt at a service of which the request
  // had ended another server before.
  bool repeat_ended = false;
  // How often that happened without another request at the server.
  size_t repeats_alone = 0;
  // The request was served shortly before its first server ended.
  bool was_served = false;
  // Whether it has been found out if servers without the request ended too, and
  // the result.
  bool bystanders_checked = false;
  bool bystanders_ended = false;
  Millis last_end_at;
  // The request is refused until then.
  Millis refuse_until{-1};
  // How often in a row it was quarantined.
  int quarantines = 0;
};

// Bounds of the memory that records take.
inline constexpr size_t kMaxEndsKept = 128;
inline constexpr size_t kMaxQuarantineRecords = 1024;

// Fingerprints of requests that were served lately, one for each slot.
class ServedRequests {
 public:
  void Add(const RequestFingerprint& request, Millis now);
  bool Contains(const RequestFingerprint& request, Millis now) const;

 private:
  struct Slot {
    uint64_t fingerprint = 0;
    Millis at{-1e9};
  };
  static constexpr size_t kSlots = 4096;
  std::array<Slot, kSlots> slots_{};
};

struct QuarantineTable {
  // When requests were cleared; reports sent before may still arrive.
  std::unordered_map<RequestFingerprint, Millis, FingerprintHash> cleared_at;
  std::unordered_map<RequestFingerprint, QuarantineRecord, FingerprintHash>
      records;
  ServedRequests served;
};

// The record of the request; nullptr if there is none or it has expired.
const QuarantineRecord* FindRecord(const QuarantineTable& table,
                                   const RequestFingerprint& request,
                                   Millis now);

// What is learned when a server has ended under a request.
struct EndObservation {
  ServerEnd end;
  // The number of servers that have completed a part of the same attempt.
  size_t survivors = 0;
  bool is_repeat = false;
};
const QuarantineRecord& RecordEnd(QuarantineTable* table,
                                  const RequestFingerprint& request,
                                  const EndObservation& seen, Millis now);

// Whether the request is to be quarantined if no server without it ended at the
// same time.
bool NeedsBystanderCheck(const QuarantineRecord& record);
void RecordBystanders(QuarantineTable* table, const RequestFingerprint& request,
                      bool any_ended, Millis now);

// Records that a server completed the request, or a part of it: the ends of
// other servers of the service have another cause. Returns true if no end is
// left, which removes the record.
bool RecordSurvivor(QuarantineTable* table, const RequestFingerprint& request,
                    const ServiceId& service);

// Forgets the request; false if there was no record.
bool ClearRecord(QuarantineTable* table, const RequestFingerprint& request,
                 Millis now);

// How a new request is treated.
struct Treatment {
  enum class Kind {
    kServe,
    // It is sent to one server first, to find out whether it survives.
    kCanary,
    // It is sent to none.
    kRefuse,
  };
  Kind kind = Kind::kServe;
  // Time until it may be sent again, if refused.
  Millis retry_after{0};
};
Treatment TreatmentOf(const QuarantineRecord* record, Millis now);

// What instances tell each other of a request.
struct QuarantineReport {
  RequestFingerprint request;
  // The request was found to be harmless.
  bool cleared = false;
  std::vector<ServerEnd> ends;
  size_t survivors = 0;
  bool repeat_ended = false;
  size_t repeats_alone = 0;
  bool was_served = false;
  // How much longer it is refused; 0 if it isn't.
  Millis refused_for{0};
  int quarantines = 0;
};
QuarantineReport ReportOf(const RequestFingerprint& request,
                          const QuarantineRecord& record, Millis now);
// Returns true if anything in it was new.
bool MergeReport(QuarantineTable* table, const QuarantineReport& report,
                 Millis now);

// The number of canaries in progress grows by this factor with each server that
// survives one.
inline constexpr size_t kCanaryGrowth = 4;

// The state of one attempt of a request, which its client or a peer has sent.
struct SendState {
  // Servers that ended under it; and under all attempts of the request.
  size_t own_ends = 0;
  size_t all_ends = 0;
  // Lost connections of which it is not known yet whether the server ended.
  size_t unconfirmed = 0;
  // Servers that completed a part of it.
  size_t survivors = 0;
  // Parts in progress at servers or peers, those among them that aren't late,
  // and those that are repeats or canaries.
  size_t open = 0;
  size_t open_in_time = 0;
  size_t canaries_open = 0;
  // How many canaries may be in progress; see kCanaryGrowth.
  size_t canary_window = 1;
  // A server ended under a repeat.
  bool repeat_ended = false;
  // The request is quarantined, or it is being found out whether it must be.
  bool refused = false;
  bool undecided = false;
  // Whether it has parts at several services.
  bool is_fan_out = false;
  // Whether a peer owns it, which knows more and repeats what fails here.
  bool is_partial = false;
};

enum class SendDecision {
  kSend,
  // Until an attempt in progress, or a check of a server, has ended.
  kWait,
  // The request must not be sent to another server.
  kStop,
};

// Decides whether the request may be sent to one more server.
SendDecision DecideSend(const SendState& state);

}  // namespace hibiscuspick::engine
