#include "hibiscuspick/records/record_flow.h"

#include <utility>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::records {
namespace {

constexpr Millis kRetryAfter{1000};

RecordAnswer Reject(Code code, const std::string& message,
                    Millis retry_after = Millis(0)) {
  return {code, Ran::kNo, "", retry_after, message};
}

RecordAnswer OutcomeUnknown() {
  return {Code::kOutcomeUnknown, Ran::kMaybe, "", Millis(0), ""};
}

// The outcome of an earlier request with the same key.
RecordAnswer AnswerOfEntry(const Claim& claim, const Entry& entry) {
  if (entry.body_hash != claim.body_hash) {
    return Reject(Code::kKeyInUse, "");
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
  return OutcomeUnknown();
}

// Whether the record did not run, even if a connection to a server was
// attempted.
bool DidNotRun(const DispatchResult& result) {
  return result.ran == Ran::kNo || result.code == Code::kShed ||
         result.code == Code::kConnectFailed;
}

}  // namespace

Result<ClaimPlan> PlanClaim(const Rules& rules, const RecordRequest& request,
                            const std::string& token, Millis wall_now) {
  const auto location =
      LocateKey(rules, request.service.text, request.key, wall_now);
  if (!IsOk(location)) return ErrorOf(location);
  ClaimPlan plan;
  plan.bucket = ValueOf(location).bucket;
  // A service's name has no slash, so keys of different services are distinct.
  plan.claim.key = request.service.text + "/" + request.key;
  plan.claim.epoch = ValueOf(location).epoch;
  plan.claim.token = token;
  plan.claim.body_hash = Hash(request.record, Hash(request.shard.text));
  return plan;
}

std::optional<RecordAnswer> AnswerToClaim(const Claim& claim,
                                          const Verdict& verdict) {
  switch (verdict.kind) {
    case VerdictKind::kApplied:
      return std::nullopt;
    case VerdictKind::kClaimedByOther:
      return AnswerOfEntry(claim, verdict.entry);
    case VerdictKind::kTooOld:
      return Reject(Code::kKeyTooOld, "");
    case VerdictKind::kFull:
      return Reject(Code::kQueueFull, "the key's bucket of claims is full",
                    kRetryAfter);
    case VerdictKind::kUnknown:
      break;
  }
  // The claim may still take effect, but this request won't dispatch the
  // record, and no other can.
  return Reject(Code::kPlatformUnavailable, "", kRetryAfter);
}

RecordAnswer DeadlineAnswer() {
  return Reject(Code::kDeadlineExceeded,
                "the deadline passed before the record was dispatched",
                kRetryAfter);
}

DispatchDecision HandleDispatchResult(const Claim& claim,
                                      const DispatchResult& result) {
  DispatchDecision decision;
  if (DidNotRun(result)) {
    decision.answer = {result.code, result.ran, "", kRetryAfter, ""};
    decision.change = ReleaseClaim{claim.key, claim.epoch, claim.token};
    return decision;
  }
  if (result.code == Code::kOk) {
    decision.answer = {Code::kOk, Ran::kMaybe, result.result, Millis(0), ""};
    decision.change = StoreOutcome{claim.key, claim.epoch, claim.token,
                                   EntryState::kDone, result.result};
    return decision;
  }
  if (result.code == Code::kRecordFailed) {
    decision.answer = {Code::kRecordFailed, Ran::kMaybe, result.result,
                       Millis(0), result.result};
    decision.change = StoreOutcome{claim.key, claim.epoch, claim.token,
                                   EntryState::kFailed, result.result};
    return decision;
  }
  decision.answer = OutcomeUnknown();
  return decision;
}

}  // namespace hibiscuspick::records
