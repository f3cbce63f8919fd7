// An in-memory platform for tests, with conditional writes, one version
// counter, and faults that a test sets for each call.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::platform {

// The fault of one put.
enum class PutFault {
  kNone,
  // Rejected with an error; not applied.
  kDown,
  // Applied, but the reply is lost.
  kReplyLost,
  // The request is lost; not applied.
  kRequestLost,
  // No reply; applied only when DeliverLate is called.
  kDelayed,
};

// Calls are thread-safe.
class FakePlatform {
 public:
  // Faults of the next puts, in order; kNone afterwards.
  std::deque<PutFault> put_faults;
  // Number of reads that fail before one succeeds; -1: all fail.
  int failing_reads = 0;
  // Called before a put is processed, for instance to let another operator
  // write first.
  std::function<void()> before_put;
  int puts = 0;
  int gets = 0;
  std::map<std::string, StoredObject> objects;
  uint64_t counter = 0;

  Calls MakeCalls() {
    Calls calls;
    calls.get = [this](const std::string&, const std::string& name) {
      return Get(name);
    };
    calls.put = [this](const std::string&, const std::string& name,
                       const Json& value, std::optional<Revision> expected) {
      return Put(name, value, expected);
    };
    calls.list = [this](const std::string&, Revision after) {
      return List(after);
    };
    calls.watch = [this](const std::string&, Revision after, Millis) {
      return List(after);
    };
    return calls;
  }

  // Writes at once, as another operator would.
  Result<Revision> Store(const std::string& name, const Json& value,
                         std::optional<Revision> expected) {
    const std::lock_guard lock(mutex_);
    return StoreLocked(name, value, expected);
  }

  // Applies a delayed put if its condition still holds.
  void DeliverLate() {
    const std::lock_guard lock(mutex_);
    if (late_) late_();
    late_ = nullptr;
  }

 private:
  Result<Revision> StoreLocked(const std::string& name, const Json& value,
                               std::optional<Revision> expected) {
    const auto it = objects.find(name);
    const bool matches = it == objects.end() ? !expected.has_value()
                                             : expected == it->second.version;
    if (!matches) return Error{Code::kPlatformConflict, "", ""};
    objects[name] = {name, Revision(++counter), value};
    return Revision(counter);
  }

  Result<StoredObject> Get(const std::string& name) {
    const std::lock_guard lock(mutex_);
    ++gets;
    if (failing_reads != 0) {
      if (failing_reads > 0) --failing_reads;
      return Error{Code::kPlatformUnavailable, "", "down"};
    }
    const auto it = objects.find(name);
    if (it == objects.end()) return Error{Code::kNotFound, "", ""};
    return it->second;
  }

  Result<Revision> Put(const std::string& name, const Json& value,
                       std::optional<Revision> expected) {
    if (before_put) std::exchange(before_put, nullptr)();
    const std::lock_guard lock(mutex_);
    ++puts;
    const Error lost{Code::kPlatformReplyLost, "", ""};
    switch (NextFault()) {
      case PutFault::kNone:
        return StoreLocked(name, value, expected);
      case PutFault::kDown:
        return Error{Code::kPlatformUnavailable, "", "down"};
      case PutFault::kReplyLost:
        StoreLocked(name, value, expected);
        return lost;
      case PutFault::kRequestLost:
        return lost;
      case PutFault::kDelayed:
        late_ = [=, this] { StoreLocked(name, value, expected); };
        return lost;
    }
    return lost;
  }

  Result<Changes> List(Revision after) {
    const std::lock_guard lock(mutex_);
    if (failing_reads != 0) {
      if (failing_reads > 0) --failing_reads;
      return Error{Code::kPlatformUnavailable, "", "down"};
    }
    Changes changes{Revision(counter), {}};
    for (const auto& [name, object] : objects) {
      if (object.version > after) changes.objects.push_back(object);
    }
    return changes;
  }

  PutFault NextFault() {
    if (put_faults.empty()) return PutFault::kNone;
    const PutFault fault = put_faults.front();
    put_faults.pop_front();
    return fault;
  }

  std::mutex mutex_;
  std::function<void()> late_;
};

}  // namespace hibiscuspick::platform
