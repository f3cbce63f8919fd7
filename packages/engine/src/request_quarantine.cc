#include "hibiscuspick/engine/request_quarantine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::engine {
namespace {

// Without a further end, a record that is not quarantined is dropped after this
// time.
constexpr Millis kSuspicionTtl{30000};

// Duration of the first quarantine, doubled by each further one. After it the
// request is sent to one server, whose end starts the next.
constexpr Millis kFirstQuarantine{60000};
constexpr Millis kMaxQuarantine{900000};
constexpr Millis kQuarantineMemory{900000};

constexpr Millis kServedTtl{60000};

// Longer than a report takes to all instances.
constexpr Millis kClearedTtl{2000};

constexpr size_t kHexDigits = 16;

Millis QuarantineDuration(int quarantines) {
  constexpr int kMaxDoublings = 10;
  const int doublings = std::clamp(quarantines - 1, 0, kMaxDoublings);
  return Min(kFirstQuarantine * static_cast<double>(1U << unsigned(doublings)),
             kMaxQuarantine);
}

bool IsExpired(const QuarantineRecord& record, Millis now) {
  return now - record.last_end_at >= kSuspicionTtl &&
         (record.quarantines == 0 ||
          now >= record.refuse_until + kQuarantineMemory);
}

bool AddEnd(QuarantineRecord* record, const ServerEnd& end) {
  auto& ends = record->ends;
  const auto known = std::find_if(ends.begin(), ends.end(), [&](auto& it) {
    return it.server == end.server;
  });
  if (known != ends.end() || ends.size() >= kMaxEndsKept) return false;
  ends.push_back(end);
  return true;
}

// Starts a quarantine if the evidence suffices and none is in force.
void Decide(QuarantineRecord* record, Millis now) {
  const bool decided_since_end =
      record->quarantines > 0 && record->last_end_at < record->refuse_until;
  if (record->ends.size() < kMaxServerEnds || decided_since_end) return;
  // Others' requests end with the servers that a request ends, but some of
  // theirs survive.
  const bool none_survived = record->survivors == 0 && !record->was_served;
  const bool by_repeat = (record->repeat_ended && none_survived) ||
                         record->repeats_alone >= kMaxServerEnds;
  const bool unexplained = NeedsBystanderCheck(*record) &&
                           record->bystanders_checked &&
                           !record->bystanders_ended;
  if (!by_repeat && !unexplained) return;
  ++record->quarantines;
  record->refuse_until = now + QuarantineDuration(record->quarantines);
}

// Makes room for a new record: drops the expired ones, or the oldest.
void MakeRoom(QuarantineTable* table, Millis now) {
  auto& records = table->records;
  if (records.size() < kMaxQuarantineRecords) return;
  std::erase_if(records, [&](auto& it) { return IsExpired(it.second, now); });
  if (records.size() < kMaxQuarantineRecords) return;
  records.erase(std::min_element(
      records.begin(), records.end(), [](const auto& a, const auto& b) {
        return a.second.last_end_at < b.second.last_end_at;
      }));
}

QuarantineRecord& RecordFor(QuarantineTable* table,
                            const RequestFingerprint& request, Millis now) {
  const auto found = table->records.find(request);
  if (found != table->records.end()) {
    if (IsExpired(found->second, now)) found->second = {};
    return found->second;
  }
  MakeRoom(table, now);
  return table->records[request];
}

std::string ToHex(uint64_t n) {
  std::array<char, kHexDigits + 1> buf{};
  (void)std::snprintf(buf.data(), buf.size(), "%016" PRIx64, n);
  return buf.data();
}

std::optional<uint64_t> ParseHex(std::string_view text) {
  constexpr int kBase = 16;
  uint64_t n = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), n, kBase);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

}  // namespace

RequestFingerprint FingerprintOf(const RequestContent& request) {
  // The length before each field keeps their boundaries apart.
  const auto hash = [&](uint64_t seed) {
    for (const std::string_view it :
         {std::string_view(request.route.text),
          std::string_view(request.account.text), request.method,
          request.target, request.body}) {
      seed = Hash(it, Hash(std::to_string(it.size()), seed));
    }
    return seed;
  };
  constexpr uint64_t kSecondSeed = 1;
  return {hash(0), hash(kSecondSeed)};
}

std::string ToText(const RequestFingerprint& it) {
  return ToHex(it.high) + ToHex(it.low);
}

std::optional<RequestFingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != 2 * kHexDigits) return std::nullopt;
  const auto high = ParseHex(text.substr(0, kHexDigits));
  const auto low = ParseHex(text.substr(kHexDigits));
  if (!high || !low) return std::nullopt;
  return RequestFingerprint{*high, *low};
}

uint64_t ServiceKey(const ServiceId& service) { return Hash(service.text); }

void ServedRequests::Add(const RequestFingerprint& request, Millis now) {
  slots_[request.low % kSlots] = {request.high, now};
}

bool ServedRequests::Contains(const RequestFingerprint& request,
                              Millis now) const {
  const auto& slot = slots_[request.low % kSlots];
  return slot.fingerprint == request.high && now - slot.at < kServedTtl;
}

const QuarantineRecord* FindRecord(const QuarantineTable& table,
                                   const RequestFingerprint& request,
                                   Millis now) {
  const auto found = table.records.find(request);
  if (found == table.records.end() || IsExpired(found->second, now)) {
    return nullptr;
  }
  return &found->second;
}

const QuarantineRecord& RecordEnd(QuarantineTable* table,
                                  const RequestFingerprint& request,
                                  const EndObservation& seen, Millis now) {
  auto& record = RecordFor(table, request, now);
  if (record.ends.empty()) {
    record.was_served = table->served.Contains(request, now);
  }
  AddEnd(&record, seen.end);
  record.survivors = std::max(record.survivors, seen.survivors);
  record.repeat_ended = record.repeat_ended || seen.is_repeat;
  record.repeats_alone += seen.is_repeat && seen.end.alone ? 1 : 0;
  record.last_end_at = now;
  Decide(&record, now);
  return record;
}

bool NeedsBystanderCheck(const QuarantineRecord& record) {
  const auto alone =
      std::count_if(record.ends.begin(), record.ends.end(),
                    [](const ServerEnd& it) { return it.alone; });
  return static_cast<size_t>(alone) >= kMaxServerEnds &&
         record.survivors == 0 && !record.was_served && !record.repeat_ended;
}

void RecordBystanders(QuarantineTable* table, const RequestFingerprint& request,
                      bool any_ended, Millis now) {
  const auto found = table->records.find(request);
  if (found == table->records.end()) return;
  found->second.bystanders_checked = true;
  found->second.bystanders_ended = any_ended;
  Decide(&found->second, now);
}

bool RecordSurvivor(QuarantineTable* table, const RequestFingerprint& request,
                    const ServiceId& service) {
  if (table->records.empty()) return false;
  const auto found = table->records.find(request);
  if (found == table->records.end()) return false;
  auto& record = found->second;
  ++record.survivors;
  const uint64_t key = ServiceKey(service);
  std::erase_if(record.ends,
                [&](const ServerEnd& it) { return it.service == key; });
  if (!record.ends.empty()) return false;
  table->records.erase(found);
  return true;
}

bool ClearRecord(QuarantineTable* table, const RequestFingerprint& request,
                 Millis now) {
  auto& cleared = table->cleared_at;
  if (cleared.size() >= kMaxQuarantineRecords) {
    std::erase_if(cleared,
                  [&](auto& it) { return now - it.second >= kClearedTtl; });
  }
  if (cleared.size() < kMaxQuarantineRecords) cleared[request] = now;
  return table->records.erase(request) > 0;
}

Treatment TreatmentOf(const QuarantineRecord* record, Millis now) {
  if (record == nullptr) return {};
  if (now < record->refuse_until) {
    return {Treatment::Kind::kRefuse, record->refuse_until - now};
  }
  if (record->ends.size() < kMaxServerEnds) return {};
  return {Treatment::Kind::kCanary, Millis(0)};
}

QuarantineReport ReportOf(const RequestFingerprint& request,
                          const QuarantineRecord& record, Millis now) {
  QuarantineReport report;
  report.request = request;
  report.ends = record.ends;
  report.survivors = record.survivors;
  report.repeat_ended = record.repeat_ended;
  report.repeats_alone = record.repeats_alone;
  report.was_served = record.was_served;
  report.refused_for = Max(record.refuse_until - now, Millis(0));
  report.quarantines = record.quarantines;
  return report;
}

bool MergeReport(QuarantineTable* table, const QuarantineReport& report,
                 Millis now) {
  if (report.cleared) return ClearRecord(table, report.request, now);
  const auto cleared = table->cleared_at.find(report.request);
  const bool is_outdated =
      cleared != table->cleared_at.end() && now - cleared->second < kClearedTtl;
  if (report.ends.empty() || is_outdated) return false;
  auto& record = RecordFor(table, report.request, now);
  bool is_new = record.ends.empty();
  if (is_new) record.was_served = table->served.Contains(report.request, now);
  for (const auto& it : report.ends) is_new |= AddEnd(&record, it);
  is_new |= report.repeat_ended && !record.repeat_ended;
  record.repeat_ended = record.repeat_ended || report.repeat_ended;
  record.repeats_alone = std::max(record.repeats_alone, report.repeats_alone);
  record.survivors = std::max(record.survivors, report.survivors);
  record.was_served = record.was_served || report.was_served;
  const Millis until = now + Min(report.refused_for, kMaxQuarantine);
  if (report.refused_for > Millis(0) && now >= record.refuse_until) {
    is_new = true;
    record.refuse_until = until;
    record.quarantines = std::max({record.quarantines, report.quarantines, 1});
  }
  if (is_new) record.last_end_at = now;
  Decide(&record, now);
  return is_new;
}

SendDecision DecideSend(const SendState& state) {
  if (state.refused) return SendDecision::kStop;
  if (state.undecided) return SendDecision::kWait;
  const size_t suspected = state.all_ends + state.unconfirmed;
  if (suspected == 0) return SendDecision::kSend;
  const bool canaries_full =
      state.unconfirmed > 0 || state.canaries_open >= state.canary_window;
  if (suspected >= kMaxServerEnds) {
    if (state.unconfirmed > 0) return SendDecision::kWait;
    if (state.own_ends > 0 && state.repeat_ended) return SendDecision::kStop;
    if (state.own_ends > 0 && state.survivors == 0) {
      return state.open > 0 ? SendDecision::kWait : SendDecision::kStop;
    }
    return canaries_full ? SendDecision::kWait : SendDecision::kSend;
  }
  const bool none_survived =
      state.survivors == 0 && state.own_ends + state.unconfirmed > 0;
  if (state.is_partial && none_survived) {
    return state.open + state.unconfirmed > 0 ? SendDecision::kWait
                                              : SendDecision::kStop;
  }
  // The other parts of a fan-out soon show whether servers survive it.
  const bool is_full = canaries_full || state.open_in_time > 0;
  return state.is_fan_out && none_survived && is_full ? SendDecision::kWait
                                                      : SendDecision::kSend;
}

}  // namespace hibiscuspick::engine
