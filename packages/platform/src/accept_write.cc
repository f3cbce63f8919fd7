#include "hibiscuspick/platform/accept_write.h"

#include <algorithm>
#include <vector>

#include "hibiscuspick/settings/envelope.h"

namespace hibiscuspick::platform {
namespace {

using settings::WriteMark;

// Whether the marks hold every write after `since`.
bool RemembersSince(const std::vector<WriteMark>& marks, Revision since) {
  if (marks.size() < settings::kKeptWriteIds) return true;
  return std::any_of(marks.begin(), marks.end(), [&](const WriteMark& it) {
    return it.version.value != 0 && it.version <= since;
  });
}

// The object's marks with the last one's version filled in, which only the
// reader knows; nothing if it is no envelope.
std::optional<std::vector<WriteMark>> MarksOf(const StoredObject& object) {
  const auto envelope = settings::ReadEnvelope(object.value);
  if (!IsOk(envelope)) return std::nullopt;
  auto marks = ValueOf(envelope).writes;
  if (!marks.empty()) marks.back().version = object.version;
  return marks;
}

void Finish(WriteState* state, WriteOutcome outcome) {
  state->step = WriteStep::kFinished;
  state->outcome = outcome;
}

// Goes on with `step` if a repeat is left.
void Repeat(WriteState* state, WriteStep step) {
  if (state->repeats_left == 0) {
    Finish(state, WriteOutcome::kUnknown);
    return;
  }
  --state->repeats_left;
  state->step = step;
  state->pause = true;
}

void Accept(WriteState* state, Revision version) {
  state->version = version;
  Finish(state, WriteOutcome::kAccepted);
}

}  // namespace

Judgement JudgeWrite(const StoredObject* present, const std::string& write_id,
                     std::optional<Revision> expected) {
  if (!present) {
    const bool unchanged = !expected.has_value();
    return {unchanged ? WriteVerdict::kOpen : WriteVerdict::kUnknown, {}};
  }
  const auto marks = MarksOf(*present);
  if (!marks) return {WriteVerdict::kUnknown, {}};
  for (const auto& it : *marks) {
    if (it.id == write_id) return {WriteVerdict::kTaken, it.version};
  }
  if (expected == present->version) return {WriteVerdict::kOpen, {}};
  const bool certain = RemembersSince(*marks, expected.value_or(Revision()));
  return {certain ? WriteVerdict::kNotTaken : WriteVerdict::kUnknown, {}};
}

void AfterPut(WriteState* state, const Result<Revision>& result) {
  state->pause = false;
  if (IsOk(result)) return Accept(state, ValueOf(result));
  switch (ErrorOf(result).code) {
    case Code::kPlatformConflict:
      state->step = WriteStep::kRead;
      return;
    case Code::kPlatformReplyLost:
      state->reply_lost = true;
      return Repeat(state, WriteStep::kRead);
    default:
      // This put was not taken; an earlier one without an answer may be.
      if (!state->reply_lost) return Finish(state, WriteOutcome::kNotTaken);
      return Repeat(state, WriteStep::kRead);
  }
}

void AfterRead(WriteState* state, const Result<StoredObject>& result) {
  state->pause = false;
  const bool found = IsOk(result);
  if (!found && ErrorOf(result).code != Code::kNotFound) {
    // A put that was answered with a conflict stays one without the value.
    if (!state->reply_lost) return Finish(state, WriteOutcome::kConflict);
    return Repeat(state, WriteStep::kRead);
  }
  state->present.reset();
  state->absent = !found;
  if (found) state->present = ValueOf(result);
  const auto judged = JudgeWrite(found ? &ValueOf(result) : nullptr,
                                 state->write_id, state->expected);
  if (judged.verdict == WriteVerdict::kTaken) {
    return Accept(state, judged.version);
  }
  // Every put was answered: the conflict is certain, whatever the marks say.
  if (!state->reply_lost) return Finish(state, WriteOutcome::kConflict);
  switch (judged.verdict) {
    case WriteVerdict::kTaken:
    case WriteVerdict::kUnknown:
      return Finish(state, WriteOutcome::kUnknown);
    case WriteVerdict::kNotTaken:
      return Finish(state, WriteOutcome::kConflict);
    case WriteVerdict::kOpen:
      return Repeat(state, WriteStep::kPut);
  }
}

WriteState RunWrite(const Calls& calls, const std::string& name,
                    const Json& stored, WriteState state,
                    const std::function<void()>& pause) {
  while (state.step != WriteStep::kFinished) {
    if (state.pause) pause();
    if (state.step == WriteStep::kPut) {
      AfterPut(&state, calls.put(kConfigKind, name, stored, state.expected));
    } else {
      AfterRead(&state, calls.get(kConfigKind, name));
    }
  }
  return state;
}

}  // namespace hibiscuspick::platform
