// The platform's API as this project uses it: a few calls that may block, fail,
// or take effect without a reply. All other code only uses this struct, so that
// another platform needs changes in one file, and tests can use a fake.
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

// One object. The platform draws all versions from one counter, so that of any
// two changes the later one has the higher version.
struct StoredObject {
  std::string name;
  Revision version;
  Json value;
};

// All objects of a kind that changed after a revision, up to `complete_to`.
struct Changes {
  Revision complete_to;
  std::vector<StoredObject> objects;
};

// An entry of the platform's list of instances, which lags.
struct ListedInstance {
  InstanceId id;
  Address inner;
  DataCentreId data_centre;
  bool leaving = false;
};

// Each function is thread-safe and returns within its timeout. Errors of all:
// kPlatformUnavailable (a write was not applied, or a read got no reply).
struct Calls {
  // Also kNotFound.
  std::function<Result<StoredObject>(const std::string& kind,
                                     const std::string& name)>
      get;

  // All changes after the revision; 0 lists all objects.
  std::function<Result<Changes>(const std::string& kind, Revision after)> list;

  // As list, but waits up to `wait` for the first change.
  std::function<Result<Changes>(const std::string& kind, Revision after,
                                Millis wait)>
      watch;

  // Writes if the object still has version `expected`, or does not exist if
  // there is none. Returns the new version. Also kPlatformConflict (not
  // applied) and kPlatformReplyLost (may have been applied). Never sends the
  // request twice.
  std::function<Result<Revision>(const std::string& kind,
                                 const std::string& name, const Json& value,
                                 std::optional<Revision> expected)>
      put;

  std::function<Result<std::vector<ListedInstance>>()> instances;

  // Aborts all running calls of this object and rejects later ones, so that a
  // shutdown need not wait for a watch. May be empty in fakes.
  std::function<void()> close;
};

// The kinds of objects in use.
inline constexpr char kConfigKind[] = "config";
inline constexpr char kRecordKind[] = "record";
inline constexpr char kStatusKind[] = "status";

}  // namespace hibiscuspick::platform
