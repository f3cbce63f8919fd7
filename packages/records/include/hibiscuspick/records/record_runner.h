// Runs records at most once: the threads' side of records, on the platform's
// calls.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/records/bucket.h"
#include "hibiscuspick/records/committer.h"

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
// socket. Everything else may have run.
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

struct RecordPorts {
  platform::Calls platform;
  // Sends the record once and never again by itself; `time_left` bounds it.
  std::function<DispatchResult(const RecordRequest& request, Millis time_left)>
      dispatch;
  // Milliseconds since 1970, for the age of dated keys only.
  std::function<Millis()> wall_now = WallNow;
};

class RecordRunner {
 public:
  // `token_prefix` names this life of this instance in the fleet; every claim's
  // token starts with it.
  RecordRunner(std::string token_prefix, Rules rules, RecordPorts ports);
  ~RecordRunner();

  // Runs a record to its answer on the calling thread.
  RecordAnswer Run(const RecordRequest& request, Millis arrived);

  // Tries again to store outcomes whose write failed; called now and then.
  // Gives the number still unstored.
  size_t StoreLeftovers();

 private:
  struct Bucket;
  std::shared_ptr<Bucket> BucketOf(const std::string& name);
  Verdict Commit(const std::string& bucket, const Change& change, Millis until);
  void Lead(Bucket* bucket, std::unique_lock<std::mutex>* lock);

  const std::string token_prefix_;
  const Rules rules_;
  const RecordPorts ports_;
  std::mutex mutex_;
  uint64_t last_token_ = 0;
  std::map<std::string, std::shared_ptr<Bucket>> buckets_;
};

}  // namespace hibiscuspick::records
