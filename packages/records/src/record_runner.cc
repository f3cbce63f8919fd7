#include "hibiscuspick/records/record_runner.h"

#include <algorithm>
#include <utility>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::records {
namespace {

// Concurrent platform calls. At 5 ms each, this allows several hundred writes a
// second, as many as the platform accepts from the whole fleet.
constexpr size_t kThreads = 4;

// Cached buckets that are kept although they are idle.
constexpr size_t kMaxIdleBuckets = 64;

// The delay before the next call, multiplied by the number of consecutive
// failures.
constexpr Millis kBackoff{20};

// The interval at which failed writes of outcomes are retried.
constexpr Millis kRetryInterval{1000};

}  // namespace

// A bucket's committer and its verdicts for waiting threads. Guarded by the
// runner's mutex.
struct RecordRunner::Bucket {
  std::string name;
  Committer committer;
  std::map<uint64_t, Verdict> decided;
  std::condition_variable wake;
};

struct RecordRunner::Job {
  std::shared_ptr<Bucket> bucket;
  CommitAction action;
  Millis not_before;
};

RecordRunner::RecordRunner(std::string token_prefix, const Rules& rules,
                           RecordPorts ports)
    : token_prefix_(std::move(token_prefix)),
      rules_(rules),
      ports_(std::move(ports)),
      next_retry_(SteadyNow() + kRetryInterval) {
  for (size_t i = 0; i < kThreads; ++i) {
    threads_.emplace_back([this] { RunWorker(); });
  }
}

RecordRunner::~RecordRunner() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  for (auto& it : threads_) it.join();
}

RecordAnswer RecordRunner::Run(const RecordRequest& request, Millis arrived) {
  const Millis until = arrived + request.deadline;
  std::string token;
  Rules rules;
  {
    const std::lock_guard lock(mutex_);
    token = token_prefix_ + "." + std::to_string(++last_id_);
    rules = rules_;
  }
  const auto plan = PlanClaim(rules, request, token, ports_.wall_now());
  if (!IsOk(plan)) {
    const Error& error = ErrorOf(plan);
    return {error.code, Ran::kNo, "", Millis(0),
            error.message.empty() ? "" : error.place + ": " + error.message};
  }
  const Claim& claim = ValueOf(plan).claim;
  const std::string& bucket = ValueOf(plan).bucket;
  const Verdict verdict = Commit(bucket, claim, until);
  if (const auto answer = AnswerToClaim(claim, verdict)) return *answer;

  // The claim may have taken up the whole deadline. A record dispatched now
  // would run although nobody waits for it.
  const Millis time_left = until - SteadyNow();
  if (time_left <= Millis(0)) {
    CommitAsync(bucket, ReleaseClaim{claim.key, claim.epoch, claim.token});
    return DeadlineAnswer();
  }
  const DispatchResult result = ports_.dispatch(request, time_left);
  const DispatchDecision decision = HandleDispatchResult(claim, result);
  Log(Part::kRecord)
      .info(
          "Record {} of service {} for shard {} ended with {}, its attempt "
          "with {}.",
          request.request_id, request.service.text, request.shard.text,
          CodeName(decision.answer.code), CodeName(result.code));
  // The answer doesn't wait until the outcome is stored. A repeat of the record
  // that arrives before that is told "may have run", which is correct.
  if (decision.change) CommitAsync(bucket, *decision.change);
  return decision.answer;
}

void RecordRunner::SetWindow(Millis window) {
  const std::lock_guard lock(mutex_);
  rules_.window = window;
}

std::shared_ptr<RecordRunner::Bucket> RecordRunner::GetBucket(
    const std::string& name) {
  auto& entry = buckets_[name];
  if (entry) return entry;
  entry = std::make_shared<Bucket>();
  entry->name = name;
  entry->committer.rules = rules_;
  auto bucket = entry;
  for (auto it = buckets_.begin();
       it != buckets_.end() && buckets_.size() > kMaxIdleBuckets;) {
    // A bucket in use elsewhere has a second owner besides the map. One with a
    // lost write must stay: only it knows that the write may still take effect.
    const bool is_dropped = it->second.use_count() == 1 &&
                            IsIdle(it->second->committer) &&
                            !it->second->committer.lost_write;
    it = is_dropped ? buckets_.erase(it) : std::next(it);
  }
  return bucket;
}

Verdict RecordRunner::Commit(const std::string& name, const Change& change,
                             Millis until) {
  std::unique_lock lock(mutex_);
  const auto bucket = GetBucket(name);
  const uint64_t id = ++last_id_;
  Advance(bucket, Submit{id, change});
  const auto is_decided = [&] { return bucket->decided.contains(id); };
  const Millis span = Max(Millis(0), until - SteadyNow());
  if (!bucket->wake.wait_for(lock, span.ToMicros(), is_decided)) {
    Advance(bucket, GiveUp{id});
    return {};
  }
  Verdict verdict = bucket->decided[id];
  bucket->decided.erase(id);
  return verdict;
}

void RecordRunner::CommitAsync(const std::string& name, const Change& change) {
  const std::lock_guard lock(mutex_);
  const auto bucket = GetBucket(name);
  const uint64_t id = ++last_id_;
  Advance(bucket, Submit{id, change});
  Advance(bucket, GiveUp{id});
}

void RecordRunner::Advance(const std::shared_ptr<Bucket>& bucket,
                           const CommitEvent& event) {
  for (auto& action : Step(&bucket->committer, event)) {
    if (const auto* decided = std::get_if<Decided>(&action)) {
      bucket->decided[decided->id] = decided->verdict;
      bucket->wake.notify_all();
    } else {
      const double failures = bucket->committer.failures;
      Enqueue(bucket, std::move(action), SteadyNow() + kBackoff * failures);
    }
  }
  idle_.notify_all();
}

void RecordRunner::Enqueue(const std::shared_ptr<Bucket>& bucket,
                           CommitAction action, Millis not_before) {
  jobs_.push_back({bucket, std::move(action), not_before});
  wake_.notify_one();
}

void RecordRunner::RunWorker() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    const Millis now = SteadyNow();
    if (now >= next_retry_) RetryPending();
    const auto it = std::min_element(
        jobs_.begin(), jobs_.end(),
        [](const Job& a, const Job& b) { return a.not_before < b.not_before; });
    const Millis due = it == jobs_.end() ? kNever : it->not_before;
    if (due > now) {
      wake_.wait_for(lock, (Min(due, next_retry_) - now).ToMicros());
      continue;
    }
    const Job job = std::move(*it);
    jobs_.erase(it);
    lock.unlock();
    Perform(job);
    lock.lock();
  }
}

void RecordRunner::Perform(const Job& job) {
  const std::string& name = job.bucket->name;
  if (const auto* write = std::get_if<WriteBucket>(&job.action)) {
    PutDone done{ports_.platform.put(platform::kRecordKind, name,
                                     ToJson(write->value), write->expected)};
    const std::lock_guard lock(mutex_);
    Advance(job.bucket, done);
  } else {
    GotBucket got{Read(name)};
    const std::lock_guard lock(mutex_);
    Advance(job.bucket, got);
  }
}

Result<StoredBucket> RecordRunner::Read(const std::string& name) {
  const auto object = ports_.platform.get(platform::kRecordKind, name);
  if (!IsOk(object)) return ErrorOf(object);
  auto value = BucketFromJson(ValueOf(object).value);
  if (!IsOk(value)) {
    Log(Part::kRecord).error("Bucket {} could not be parsed.", name);
    return ErrorOf(value);
  }
  return StoredBucket{ValueOf(object).version, std::move(ValueOf(value))};
}

void RecordRunner::RetryPending() {
  next_retry_ = SteadyNow() + kRetryInterval;
  for (const auto& [name, bucket] : buckets_) Advance(bucket, Retry{});
}

bool RecordRunner::Flush(Millis until) {
  std::unique_lock lock(mutex_);
  RetryPending();
  const Millis span = Max(Millis(0), until - SteadyNow());
  return idle_.wait_for(lock, span.ToMicros(), [this] {
    return std::all_of(buckets_.begin(), buckets_.end(), [](const auto& it) {
      return IsIdle(it.second->committer);
    });
  });
}

size_t RecordRunner::unstored_buckets() {
  const std::lock_guard lock(mutex_);
  return static_cast<size_t>(std::count_if(
      buckets_.begin(), buckets_.end(),
      [](const auto& it) { return !it.second->committer.pending.empty(); }));
}

}  // namespace hibiscuspick::records
