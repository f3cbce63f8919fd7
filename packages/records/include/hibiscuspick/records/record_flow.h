// The steps of one record as pure decisions: claim, dispatch, outcome.
#pragma once

#include <optional>
#include <string>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/records/bucket.h"

namespace hibiscuspick::records {

// What a caller asked for, checked.
struct RecordRequest {
  std::string request_id;
  CustomerId customer;
  ServiceId service;
  ShardId shard;
  std::string key;
  // JSON text as it goes to the backend server.
  std::string record;
  // From the arrival of the request.
  Millis deadline{1000};
};

// What became of handing the record to a backend server. kOk carries `result`
// as JSON text; kRecordFailed means the server answered that it did not take
// the record, which is as final as kOk. With Ran::kNo nothing was handed to a
// socket. Everything else may have run, but for kShed and kConnectFailed.
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

// The claim of a request and the bucket it goes to.
struct ClaimPlan {
  std::string bucket;
  Claim claim;
};

// Errors: see PlaceOf.
Result<ClaimPlan> PlanClaim(const Rules& rules, const RecordRequest& request,
                            const std::string& token, Millis wall_now);

// The answer to give on the claim's verdict; none if the record is to be
// dispatched.
std::optional<RecordAnswer> AnswerToClaim(const Claim& claim,
                                          const Verdict& verdict);

// The answer when the claim came into force too late to dispatch.
RecordAnswer AnswerTooLate();

struct AfterDispatch {
  RecordAnswer answer;
  // What to commit; none when the outcome is unknown, so that the claim stays
  // and says so.
  std::optional<Change> change;
};
AfterDispatch TakeDispatch(const Claim& claim, const DispatchResult& result);

}  // namespace hibiscuspick::records
