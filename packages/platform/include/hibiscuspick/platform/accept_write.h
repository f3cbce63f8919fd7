// Whether a write is accepted. Pure, but for RunWrite.
//
// A reply from the platform can be lost after the write took effect. Were the
// write then called failed, an operator would see it come into force against
// what he was told; were it called accepted, it might never be. So every
// configuration object carries the ids of its last writes, and a write without
// an answer is settled by reading them back.
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

// What a read of the object tells about a write.
enum class WriteVerdict {
  // It took effect, in the version given.
  kTaken,
  // It did not and never will: the version it was conditional on is gone, and
  // the object remembers every write since.
  kNotTaken,
  // It did not so far; a request still on its way may yet take effect.
  kOpen,
  // The object no longer remembers far enough back.
  kUnknown,
};

struct Judgement {
  WriteVerdict verdict = WriteVerdict::kUnknown;
  // Of the write, if it was taken.
  Revision version;
};

// Judges the write `write_id`, which was conditional on `expected` (nothing:
// on the object not existing). `present` is nullptr if there is no object.
Judgement JudgeWrite(const StoredObject* present, const std::string& write_id,
                     std::optional<Revision> expected);

enum class WriteStep { kPut, kRead, kFinished };

enum class WriteOutcome {
  kAccepted,
  // Another write came first; `present` is what is stored, if it could be read.
  kConflict,
  // The platform did not take it.
  kNotTaken,
  // Not known; the caller may ask again by the write id.
  kUnknown,
};

// One write on its way. Do `step`, hand the result to AfterPut or AfterRead,
// until kFinished.
struct WriteState {
  std::string write_id;
  std::optional<Revision> expected;
  // Steps that may still be repeated after a lost or missing answer.
  int repeats_left = 4;

  WriteStep step = WriteStep::kPut;
  // A put without an answer: it may have taken effect or still do so.
  bool reply_lost = false;
  // Whether the step should wait a little first.
  bool pause = false;

  WriteOutcome outcome = WriteOutcome::kUnknown;
  Revision version;
  std::optional<StoredObject> present;
  // It was read, and there is no object.
  bool absent = false;
};

// After a lost reply and an object that is unchanged, the same put is sent
// again. That can't run twice: both are conditional on one version, which the
// first to take effect ends.
void AfterPut(WriteState* state, const Result<Revision>& result);
void AfterRead(WriteState* state, const Result<StoredObject>& result);

// Carries one write of a kConfigKind object out on `calls`; `pause` is called
// between repeated steps.
WriteState RunWrite(const Calls& calls, const std::string& name,
                    const Json& stored, WriteState state,
                    const std::function<void()>& pause);

}  // namespace hibiscuspick::platform
