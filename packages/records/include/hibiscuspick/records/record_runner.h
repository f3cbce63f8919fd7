// Runs each record at most once: the threads and platform calls around the
// state machine of committer.h.
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
  // Sends the record once, without retries, within `time_left`.
  std::function<DispatchResult(const RecordRequest& request, Millis time_left)>
      dispatch;
  // Milliseconds since 1970, used only for the age of dated keys. A wrong clock
  // can cause keys to be rejected but never to run twice.
  std::function<Millis()> wall_now = WallNow;
};

class RecordRunner {
 public:
  // `token_prefix` is unique to this incarnation of this instance in the fleet
  // ("dc-1-a.17"); every claim's token starts with it.
  RecordRunner(std::string token_prefix, const Rules& rules, RecordPorts ports);
  // Stops writing; outcomes that are not stored stay unknown. Call Flush first
  // if there is time.
  ~RecordRunner();
  RecordRunner(const RecordRunner&) = delete;
  RecordRunner& operator=(const RecordRunner&) = delete;

  // Runs a record on the calling thread and returns its answer. The thread
  // makes no platform calls itself, so it returns by the deadline or when
  // dispatch does.
  RecordAnswer Run(const RecordRequest& request, Millis arrived);

  // Sets how long keys are accepted; see Rules. Thread-safe.
  void SetWindow(Millis window);

  // Waits until all outcomes are stored or `until` has passed; returns whether
  // they are stored. Used in a graceful stop.
  bool Flush(Millis until);

  // The number of buckets with changes that are not stored yet.
  size_t unstored_buckets();

 private:
  struct Bucket;
  struct Job;

  std::shared_ptr<Bucket> GetBucket(const std::string& name);
  Verdict Commit(const std::string& name, const Change& change, Millis until);
  // Submits a change to be stored in the background.
  void CommitAsync(const std::string& name, const Change& change);
  void Advance(const std::shared_ptr<Bucket>& bucket, const CommitEvent& event);
  void Enqueue(const std::shared_ptr<Bucket>& bucket, CommitAction action,
               Millis not_before);
  void RunWorker();
  void Perform(const Job& job);
  Result<StoredBucket> Read(const std::string& name);
  void RetryPending();

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
