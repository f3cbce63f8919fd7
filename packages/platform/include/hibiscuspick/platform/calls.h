// The platform's service as this project uses it: a handful of calls that may
// block, fail, or take effect without an answer. Everything else in the
// project sees only this struct, so that the real platform's shape is one
// file's change and tests put a small fake in its place.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"

namespace hibiscuspick::platform {

// One object. Versions are drawn from one counter of the platform, so that of
// two changes of any objects the later has the higher version.
struct StoredObject {
  std::string name;
  Revision version;
  Json value;
};

// The objects of a kind that changed after a revision, and the revision up to
// which this is all.
struct Changes {
  Revision complete_to;
  std::vector<StoredObject> objects;
};

// A line of the platform's list of instances, which lags.
struct ListedInstance {
  InstanceId id;
  Address inner;
  DataCentreId data_centre;
  bool leaving = false;
};

// Each function may be called from any thread and returns within its timeout.
// Errors of all: kPlatformUnavailable (not taken, or a read without an answer).
struct Calls {
  // Also kNotFound.
  std::function<Result<StoredObject>(const std::string& kind,
                                     const std::string& name)>
      get;

  // All changes after the revision; 0 lists everything.
  std::function<Result<Changes>(const std::string& kind, Revision after)> list;

  // As list, but waits up to `wait` for the first change.
  std::function<Result<Changes>(const std::string& kind, Revision after,
                                Millis wait)>
      watch;

  // Writes if the object still has the version `expected`, or does not exist
  // yet if there is none; gives the new version. Also kPlatformConflict (did
  // not take effect) and kPlatformReplyLost (may have taken effect). Never
  // sends twice.
  std::function<Result<Revision>(const std::string& kind,
                                 const std::string& name, const Json& value,
                                 std::optional<Revision> expected)>
      put;

  std::function<Result<std::vector<ListedInstance>>()> instances;

  // Ends all running calls of this object at once and refuses later ones, for
  // a stop that must not wait for a watch. May be empty in fakes.
  std::function<void()> close;
};

// The kinds in use.
inline constexpr char kConfigKind[] = "config";
inline constexpr char kRecordKind[] = "record";
inline constexpr char kStatusKind[] = "status";

}  // namespace hibiscuspick::platform
