#include "hibiscuspick/platform/accept_write.h"

#include <algorithm>
#include <vector>

#include "hibiscuspick/settings/envelope.h"

namespace hibiscuspick::platform {
namespace {

using settings::WriteRecord;

// Whether the marks include every write after `since`.
bool ListsWritesSince(const std::vector<WriteRecord>& marks, Revision since) {
  if (marks.size() < settings::kKeptWriteIds) return true;
  return std::any_of(marks.begin(), marks.end(), [&](const WriteRecord& it) {
    return it.version.value != 0 && it.version <= since;
  });
}

// Returns the object's write marks, with the last one's version filled in from
// the object, since an envelope cannot contain its own version. None if the
// value is not an envelope.
std::optional<std::vector<WriteRecord>> MarksOf(const StoredObject& object) {
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

// Continues with `step` if a repeat is left.
void Repeat(WriteState* state, WriteStep step) {
  if (state->repeats_left == 0) {
    Finish(state, WriteOutcome::kUnknown);
    return;
  }
  --state->repeats_left;
  state->step = step;
  state->wait_first = true;
}

void Accept(WriteState* state, Revision version) {
  state->version = version;
  Finish(state, WriteOutcome::kAccepted);
}

}  // namespace

WriteResolution ResolveWrite(const StoredObject* current,
                             const std::string& write_id,
                             std::optional<Revision> expected) {
  if (!current) {
    const bool unchanged = !expected.has_value();
    return {unchanged ? WriteVerdict::kPending : WriteVerdict::kUnknown, {}};
  }
  const auto marks = MarksOf(*current);
  if (!marks) return {WriteVerdict::kUnknown, {}};
  for (const auto& it : *marks) {
    if (it.id == write_id) return {WriteVerdict::kApplied, it.version};
  }
  if (expected == current->version) return {WriteVerdict::kPending, {}};
  const bool certain = ListsWritesSince(*marks, expected.value_or(Revision()));
  return {certain ? WriteVerdict::kNotApplied : WriteVerdict::kUnknown, {}};
}

void AfterPut(WriteState* state, const Result<Revision>& result) {
  state->wait_first = false;
  if (IsOk(result)) return Accept(state, ValueOf(result));
  switch (ErrorOf(result).code) {
    case Code::kPlatformConflict:
      state->step = WriteStep::kRead;
      return;
    case Code::kPlatformReplyLost:
      state->reply_lost = true;
      return Repeat(state, WriteStep::kRead);
    default:
      // This put was not applied, but an earlier one without a reply may be.
      if (!state->reply_lost) return Finish(state, WriteOutcome::kNotApplied);
      return Repeat(state, WriteStep::kRead);
  }
}

void AfterRead(WriteState* state, const Result<StoredObject>& result) {
  state->wait_first = false;
  const bool found = IsOk(result);
  if (!found && ErrorOf(result).code != Code::kNotFound) {
    // A put rejected with a conflict remains one if the object cannot be read.
    if (!state->reply_lost) return Finish(state, WriteOutcome::kConflict);
    return Repeat(state, WriteStep::kRead);
  }
  state->current.reset();
  state->absent = !found;
  if (found) state->current = ValueOf(result);
  const auto resolution = ResolveWrite(found ? &ValueOf(result) : nullptr,
                                       state->write_id, state->expected);
  if (resolution.verdict == WriteVerdict::kApplied) {
    return Accept(state, resolution.version);
  }
  // All puts got replies, so the conflict is certain regardless of the marks.
  if (!state->reply_lost) return Finish(state, WriteOutcome::kConflict);
  switch (resolution.verdict) {
    case WriteVerdict::kApplied:
    case WriteVerdict::kUnknown:
      return Finish(state, WriteOutcome::kUnknown);
    case WriteVerdict::kNotApplied:
      return Finish(state, WriteOutcome::kConflict);
    case WriteVerdict::kPending:
      return Repeat(state, WriteStep::kPut);
  }
}

WriteState RunWrite(const Calls& calls, const std::string& name,
                    const Json& stored, WriteState state,
                    const std::function<void()>& pause) {
  while (state.step != WriteStep::kFinished) {
    if (state.wait_first) pause();
    if (state.step == WriteStep::kPut) {
      AfterPut(&state, calls.put(kConfigKind, name, stored, state.expected));
    } else {
      AfterRead(&state, calls.get(kConfigKind, name));
    }
  }
  return state;
}

}  // namespace hibiscuspick::platform
