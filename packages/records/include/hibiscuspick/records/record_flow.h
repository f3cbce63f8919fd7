// The steps of one record as pure functions: claim, dispatch, outcome.
#pragma once

#include <optional>
#include <string>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/records/bucket.h"

namespace hibiscuspick::records {

// A validated request of a caller.
struct RecordRequest {
  std::string request_id;
  CustomerId customer;
  ServiceId service;
  ShardId shard;
  std::string key;
  // JSON text as sent to the backend server.
  std::string record;
  // Measured from the arrival of the request.
  Millis deadline{1000};
};

// The result of dispatching the record to a backend server. kOk carries
// `result` as JSON text. kRecordFailed means that the server rejected the
// record, which is as final as kOk. With Ran::kNo nothing was written to a
// socket. With any other code except kShed and kConnectFailed the record may
// have run.
struct DispatchResult {
  Code code = Code::kOk;
  Ran ran = Ran::kMaybe;
  std::string result;
};

struct RecordAnswer {
  Code code = Code::kOk;
  Ran ran = Ran::kNo;
  std::string result;
  Millis retry_after;
  std::string message;
};

// The claim of a request and its bucket.
struct ClaimPlan {
  std::string bucket;
  Claim claim;
};

// Errors: see LocateKey.
Result<ClaimPlan> PlanClaim(const Rules& rules, const RecordRequest& request,
                            const std::string& token, Millis wall_now);

// The answer for the claim's verdict; nullopt if the record is to be
// dispatched.
std::optional<RecordAnswer> AnswerToClaim(const Claim& claim,
                                          const Verdict& verdict);

// The answer if the claim took effect too late to dispatch the record.
RecordAnswer DeadlineAnswer();

struct DispatchDecision {
  RecordAnswer answer;
  // The change to commit; nullopt if the outcome is unknown, so that the claim
  // stays in place and records that.
  std::optional<Change> change;
};
DispatchDecision HandleDispatchResult(const Claim& claim,
                                      const DispatchResult& result);

}  // namespace hibiscuspick::records
