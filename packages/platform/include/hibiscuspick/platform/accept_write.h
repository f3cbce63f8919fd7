// Determines whether a write to the platform took effect. Pure functions,
// except for RunWrite.
//
// A reply can be lost after the write took effect. If the write were then
// reported as failed, it might come into force contrary to what the operator
// was told; if it were reported as accepted, it might never do so. Every
// configuration object therefore stores the ids of its last writes, and a write
// without a reply is resolved by reading the object back.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::platform {

// What the object's present state says about a write.
enum class WriteVerdict {
  // It took effect, with the given version.
  kApplied,
  // It did not and never will take effect: the version that it was conditional
  // on has been replaced, and the object lists every write since.
  kNotApplied,
  // It has not taken effect; a request still in the network may do so.
  kPending,
  // The object does not list enough earlier writes to tell.
  kUnknown,
};

struct WriteResolution {
  WriteVerdict verdict = WriteVerdict::kUnknown;
  // The write's version, if it was applied.
  Revision version;
};

// Checks the write `write_id`, which was conditional on version `expected`
// (none: on the object not existing). `current` is nullptr if there is no
// object.
WriteResolution ResolveWrite(const StoredObject* current,
                             const std::string& write_id,
                             std::optional<Revision> expected);

enum class WriteStep { kPut, kRead, kFinished };

enum class WriteOutcome {
  kAccepted,
  // Another write came first. `current` is the stored object, if it could be
  // read.
  kConflict,
  // The platform rejected it or could not be reached.
  kNotApplied,
  // Unknown; the caller may look the write up again by its id.
  kUnknown,
};

// The state of one write. The caller performs `step` and passes its result to
// AfterPut or AfterRead, until kFinished.
struct WriteState {
  std::string write_id;
  std::optional<Revision> expected;
  // Remaining repeats of steps after a lost or missing reply.
  int repeats_left = 4;

  WriteStep step = WriteStep::kPut;
  // A put got no reply: it may have taken effect or still do so.
  bool reply_lost = false;
  // Whether to wait before the step.
  bool wait_first = false;

  WriteOutcome outcome = WriteOutcome::kUnknown;
  Revision version;
  std::optional<StoredObject> current;
  // The object was read and does not exist.
  bool absent = false;
};

// If the reply is lost and the object is unchanged, the same put is sent again.
// It cannot be applied twice: both puts are conditional on one version, which
// the first to take effect replaces.
void AfterPut(WriteState* state, const Result<Revision>& result);
void AfterRead(WriteState* state, const Result<StoredObject>& result);

// Performs one write of a kConfigKind object through `calls`. `pause` is called
// before repeated steps.
WriteState RunWrite(const Calls& calls, const std::string& name,
                    const Json& stored, WriteState state,
                    const std::function<void()>& pause);

}  // namespace hibiscuspick::platform
