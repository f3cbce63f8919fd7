// Runs records at most once: the threads' side, on the platform's calls.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/records/committer.h"
#include "hibiscuspick/records/record_flow.h"

namespace hibiscuspick::records {

struct RecordPorts {
  platform::Calls platform;
  // Sends the record once and never again by itself; `time_left` bounds it.
  std::function<DispatchResult(const RecordRequest& request, Millis time_left)>
      dispatch;
  // Milliseconds since 1970, for the age of dated keys only. A wrong clock can
  // refuse keys but never run one twice.
  std::function<Millis()> wall_now = WallNow;
};

class RecordRunner {
 public:
  // `token_prefix` names this life of this instance in the fleet
  // ("osl-1-a.17"); every claim's token starts with it.
  RecordRunner(std::string token_prefix, const Rules& rules, RecordPorts ports);
  // Writes nothing more; unstored outcomes stay unknown. To be called after
  // Flush when there is time.
  ~RecordRunner();
  RecordRunner(const RecordRunner&) = delete;
  RecordRunner& operator=(const RecordRunner&) = delete;

  // Runs a record to its answer on the calling thread, which never waits on the
  // platform itself and so is back by the deadline, or when dispatch is.
  RecordAnswer Run(const RecordRequest& request, Millis arrived);

  // Sets how long keys are accepted; see Rules. From any thread.
  void SetWindow(Millis window);

  // Waits until all outcomes are stored or `until`; true if they are. For a
  // graceful stop.
  bool Flush(Millis until);

  // Buckets with changes not yet stored.
  size_t unstored();

 private:
  struct Bucket;
  struct Job;

  std::shared_ptr<Bucket> BucketOf(const std::string& name);
  Verdict Commit(const std::string& name, const Change& change, Millis until);
  // Hands a change over to be stored sometime.
  void CommitLater(const std::string& name, const Change& change);
  void Advance(const std::shared_ptr<Bucket>& bucket, const CommitEvent& event);
  void Enqueue(const std::shared_ptr<Bucket>& bucket, CommitAction action,
               Millis not_before);
  void Work();
  void Perform(const Job& job);
  Result<StoredBucket> Read(const std::string& name);
  void RetryLeftovers();

  const std::string token_prefix_;
  Rules rules_;
  const RecordPorts ports_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable idle_;
  std::map<std::string, std::shared_ptr<Bucket>> buckets_;
  std::deque<Job> jobs_;
  uint64_t last_id_ = 0;
  Millis next_retry_;
  bool is_stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace hibiscuspick::records
