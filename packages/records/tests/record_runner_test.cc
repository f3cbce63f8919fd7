#include "hibiscuspick/records/record_runner.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace hibiscuspick::records {

// Long enough for any machine; exceeded only if a call hangs.
constexpr Millis kHang{60000};

// The platform's record objects in memory; can hang or reject calls.
class MemoryPlatform {
 public:
  platform::Calls MakeCalls() {
    platform::Calls calls;
    calls.get = [this](
                    const std::string&,
                    const std::string& name) -> Result<platform::StoredObject> {
      if (!Pass()) return Error{Code::kPlatformUnavailable, "", ""};
      const std::lock_guard lock(mutex_);
      const auto it = objects_.find(name);
      if (it == objects_.end()) return Error{Code::kNotFound, "", ""};
      return it->second;
    };
    calls.put = [this](const std::string&, const std::string& name,
                       const Json& value,
                       std::optional<Revision> expected) -> Result<Revision> {
      if (!Pass()) return Error{Code::kPlatformUnavailable, "", ""};
      const std::lock_guard lock(mutex_);
      const auto it = objects_.find(name);
      const auto now = it == objects_.end() ? std::nullopt
                                            : std::optional(it->second.version);
      if (now != expected) return Error{Code::kPlatformConflict, "", ""};
      const Revision version(++last_);
      objects_[name] = {name, version, value};
      return version;
    };
    return calls;
  }
  void Refuse(bool refusing) { refusing_ = refusing; }
  void Hang(bool hanging) {
    const std::lock_guard lock(gate_mutex_);
    hanging_ = hanging;
    gate_.notify_all();
  }

 private:
  bool Pass() {
    std::unique_lock lock(gate_mutex_);
    gate_.wait(lock, [this] { return !hanging_; });
    return !refusing_;
  }
  std::mutex mutex_;
  std::map<std::string, platform::StoredObject> objects_;
  uint64_t last_ = 0;
  std::mutex gate_mutex_;
  std::condition_variable gate_;
  bool hanging_ = false;
  std::atomic<bool> refusing_{false};
};

RecordRequest Request(const std::string& key, Millis deadline = kHang) {
  RecordRequest request;
  request.service = ServiceId("claims");
  request.shard = ShardId("p1");
  request.key = key;
  request.record = "{}";
  request.deadline = deadline;
  return request;
}

RecordPorts Ports(MemoryPlatform* platform, std::atomic<int>* dispatched) {
  RecordPorts ports;
  ports.platform = platform->MakeCalls();
  ports.dispatch = [dispatched](const RecordRequest& request, Millis) {
    ++*dispatched;
    return DispatchResult{Code::kOk, Ran::kMaybe, "\"" + request.key + "\""};
  };
  return ports;
}

// A caller gets no answer in time and sends the same keys to another instance
// concurrently. Each key still runs once.
BOOST_AUTO_TEST_CASE(keys_sent_to_two_instances_at_once_run_once) {
  MemoryPlatform platform;
  std::atomic<int> dispatched{0};
  RecordRunner a("a.1", Rules{}, Ports(&platform, &dispatched));
  RecordRunner b("b.1", Rules{}, Ports(&platform, &dispatched));
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&, i] {
      RecordRunner& runner = i % 2 == 0 ? a : b;
      for (int n = 0; n < 25; ++n) {
        const auto answer =
            runner.Run(Request("k" + std::to_string(n)), SteadyNow());
        const bool is_right =
            answer.code == Code::kOk || answer.code == Code::kOutcomeUnknown;
        if (!is_right) ++wrong;
      }
    });
  }
  for (auto& it : callers) it.join();
  BOOST_TEST(wrong == 0);
  BOOST_TEST(dispatched == 25);
  BOOST_TEST(a.Flush(SteadyNow() + kHang));
  BOOST_TEST(b.Flush(SteadyNow() + kHang));
  const auto answer = b.Run(Request("k7"), SteadyNow());
  BOOST_TEST(answer.result == "\"k7\"");
  BOOST_TEST(dispatched == 25);
}

// The platform accepts calls but never answers. The caller is rejected by its
// deadline instead of being blocked for as long as the platform hangs.
BOOST_AUTO_TEST_CASE(a_hanging_platform_blocks_no_caller) {
  MemoryPlatform platform;
  std::atomic<int> dispatched{0};
  {
    RecordRunner runner("a.1", Rules{}, Ports(&platform, &dispatched));
    platform.Hang(true);
    const auto answer = runner.Run(Request("k", Millis(20)), SteadyNow());
    BOOST_TEST((answer.code == Code::kPlatformUnavailable));
    BOOST_TEST((answer.ran == Ran::kNo));
    platform.Hang(false);
  }
  BOOST_TEST(dispatched == 0);
}

// The platform goes down between the claim and the outcome. The outcome is
// stored when it is back, before a graceful stop ends.
BOOST_AUTO_TEST_CASE(outcomes_are_stored_after_an_outage) {
  MemoryPlatform platform;
  std::atomic<int> dispatched{0};
  RecordPorts ports = Ports(&platform, &dispatched);
  ports.dispatch = [&](const RecordRequest&, Millis) {
    platform.Refuse(true);
    return DispatchResult{Code::kOk, Ran::kMaybe, "7"};
  };
  RecordRunner runner("a.1", Rules{}, ports);
  BOOST_TEST((runner.Run(Request("k"), SteadyNow()).code == Code::kOk));
  BOOST_TEST(!runner.Flush(SteadyNow() + Millis(50)));
  BOOST_TEST(runner.unstored_buckets() == 1U);
  platform.Refuse(false);
  BOOST_TEST(runner.Flush(SteadyNow() + kHang));
  const auto answer = runner.Run(Request("k"), SteadyNow());
  BOOST_TEST((answer.code == Code::kOk));
  BOOST_TEST(answer.result == "7");
}

// The claim takes effect only after the caller's deadline. The record is not
// dispatched, and its key stays free for the next attempt.
BOOST_AUTO_TEST_CASE(a_late_claim_is_not_dispatched) {
  MemoryPlatform platform;
  std::atomic<int> dispatched{0};
  RecordRunner runner("a.1", Rules{}, Ports(&platform, &dispatched));
  const auto late = runner.Run(Request("k", Millis(0)), SteadyNow());
  BOOST_TEST((late.ran == Ran::kNo));
  BOOST_TEST(dispatched == 0);
  BOOST_TEST(runner.Flush(SteadyNow() + kHang));
  BOOST_TEST((runner.Run(Request("k"), SteadyNow()).code == Code::kOk));
}

}  // namespace hibiscuspick::records
