#include "hibiscuspick/records/record_flow.h"

#include <utility>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::records {
namespace {

constexpr Millis kRetryLater{1000};

RecordAnswer Refuse(Code code, const std::string& message,
                    Millis retry_after = Millis(0)) {
  return {code, Ran::kNo, "", retry_after, message};
}

RecordAnswer Unknown() {
  return {Code::kOutcomeUnknown, Ran::kMaybe, "", Millis(0), ""};
}

// The outcome of an earlier request with the same key.
RecordAnswer AnswerOfEntry(const Claim& claim, const Entry& entry) {
  if (entry.body_hash != claim.body_hash) {
    return Refuse(Code::kKeyInUse, "");
  }
  switch (entry.state) {
    case EntryState::kDone:
      return {Code::kOk, Ran::kMaybe, entry.result, Millis(0), ""};
    case EntryState::kFailed:
      return {Code::kRecordFailed, Ran::kMaybe, entry.result, Millis(0),
              entry.result};
    case EntryState::kClaimed:
      break;
  }
  return Unknown();
}

// Whether the record did not run, even if a connection to a server was
// attempted.
bool IsNotRun(const DispatchResult& result) {
  return result.ran == Ran::kNo || result.code == Code::kShed ||
         result.code == Code::kConnectFailed;
}

}  // namespace

Result<ClaimPlan> PlanClaim(const Rules& rules, const RecordRequest& request,
                            const std::string& token, Millis wall_now) {
  const auto place =
      PlaceOf(rules, request.service.text, request.key, wall_now);
  if (!IsOk(place)) return ErrorOf(place);
  ClaimPlan plan;
  plan.bucket = ValueOf(place).bucket;
  // A service's name has no slash, so keys of different services are distinct.
  plan.claim.key = request.service.text + "/" + request.key;
  plan.claim.epoch = ValueOf(place).epoch;
  plan.claim.token = token;
  plan.claim.body_hash = Hash(request.record, Hash(request.shard.text));
  return plan;
}

std::optional<RecordAnswer> AnswerToClaim(const Claim& claim,
                                          const Verdict& verdict) {
  switch (verdict.kind) {
    case VerdictKind::kInForce:
      return std::nullopt;
    case VerdictKind::kTaken:
      return AnswerOfEntry(claim, verdict.entry);
    case VerdictKind::kTooOld:
      return Refuse(Code::kKeyTooOld, "");
    case VerdictKind::kFull:
      return Refuse(Code::kQueueFull, "the key's bucket of claims is full",
                    kRetryLater);
    case VerdictKind::kUnknown:
      break;
  }
  // The claim may still take effect, but this request won't dispatch the
  // record, and no other can.
  return Refuse(Code::kPlatformUnavailable, "", kRetryLater);
}

RecordAnswer AnswerTooLate() {
  return Refuse(Code::kDeadlineExceeded,
                "the deadline passed before the record was dispatched",
                kRetryLater);
}

AfterDispatch TakeDispatch(const Claim& claim, const DispatchResult& result) {
  AfterDispatch after;
  if (IsNotRun(result)) {
    after.answer = {result.code, result.ran, "", kRetryLater, ""};
    after.change = ReleaseClaim{claim.key, claim.epoch, claim.token};
    return after;
  }
  if (result.code == Code::kOk) {
    after.answer = {Code::kOk, Ran::kMaybe, result.result, Millis(0), ""};
    after.change = StoreOutcome{claim.key, claim.epoch, claim.token,
                                EntryState::kDone, result.result};
    return after;
  }
  if (result.code == Code::kRecordFailed) {
    after.answer = {Code::kRecordFailed, Ran::kMaybe, result.result, Millis(0),
                    result.result};
    after.change = StoreOutcome{claim.key, claim.epoch, claim.token,
                                EntryState::kFailed, result.result};
    return after;
  }
  after.answer = Unknown();
  return after;
}

}  // namespace hibiscuspick::records
