#include "write.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "drain_announcement.h"
#include "hibiscuspick/base/hash.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/platform/accept_write.h"
#include "hibiscuspick/settings/cross_check.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/json_reader.h"
#include "object_state.h"
#include "precondition.h"
#include "reply.h"
#include "write_reply.h"

namespace hibiscuspick::operators {
namespace {

using platform::StoredObject;
using platform::WriteOutcome;
using platform::WriteState;
using platform::WriteVerdict;
using settings::Envelope;
using settings::ObjectKind;
using settings::ObjectName;

// The maximum number of attempts of a drain without a precondition when it
// conflicts with other writes.
constexpr int kMaxAttempts = 3;

// An operator's own id is bound to the value and the precondition, so that an
// id reused by mistake never matches another write.
std::string WriteIdOf(const Ports& ports, const Request& request,
                      const Json& value) {
  if (request.write_id.empty()) return ports.make_write_id();
  const uint64_t hash = Hash(request.if_match, Hash(DumpJson(value)));
  return request.write_id + "." + std::to_string(hash);
}

// Drops the oldest manifests until the stored form fits the platform's size
// limit. Returns false if the value alone is too large.
bool FitIntoLimit(Envelope* envelope) {
  while (DumpJson(ToJson(*envelope)).size() > settings::kMaxStoredBytes) {
    if (envelope->previous.empty()) return false;
    envelope->previous.pop_back();
  }
  return true;
}

// A version that is not above the newest revision in force comes from a counter
// that was reset; other instances would reject it.
bool IsVersionRegression(const Write& write, Revision version) {
  return version <= write.configuration->newest;
}

Reply FinishWrite(const Write& write, const Json& stored,
                  const WriteState& state) {
  switch (state.outcome) {
    case WriteOutcome::kNotApplied:
      return NotAcceptedReply(write, "");
    case WriteOutcome::kUnknown:
      Log(Part::kConfig)
          .warn("The outcome of write {} of {} is unknown.", write.write_id,
                write.path);
      return UnknownReply(write, state.expected);
    case WriteOutcome::kConflict:
      if (state.current) return ConflictReply(ObjectStateOf(*state.current));
      return state.absent ? ConflictReply({}) : ConflictReplyWithoutState();
    case WriteOutcome::kAccepted:
      break;
  }
  if (IsVersionRegression(write, state.version)) {
    Log(Part::kConfig)
        .error(
            "The platform assigned {} version {}, which is not above the "
            "newest revision in force.",
            write.path, state.version.value);
    return VersionRegressionReply(write, state.version);
  }
  Log(Part::kConfig)
      .info("Write of {} accepted at version {}.", write.path,
            state.version.value);
  write.ports.on_accepted({write.path, state.version, DumpJson(stored)});
  return AcceptedReply(write, state.version);
}

// Whether the platform has an older version of the object than the one in force
// or doesn't have it any more, which only happens after a restore.
bool IsPlatformOlder(const Write& write, const WriteState& state) {
  if (state.outcome != WriteOutcome::kConflict) return false;
  if (!state.current) return state.absent;
  return state.current->version < LocalState(*write.configuration, write.path)
                                      .version.value_or(Revision());
}

// Replaces `current`. If a restored platform has an older version, replaces
// that one in a second attempt: the operator named the version in force, so
// nothing is overwritten unknowingly, and the platform's copy is repaired.
Reply ReplaceObject(const Write& write, const ObjectState& current) {
  Envelope next = NextEnvelope(
      current.envelope, current.version.value_or(Revision()), write.value,
      write.write_id, write.name.kind == ObjectKind::kSnapshot);
  if (!FitIntoLimit(&next)) {
    return ErrorReply(kStatusTooLarge, Code::kRequestTooLarge,
                      "the stored value would exceed 1 MB");
  }
  const Json stored = ToJson(next);
  WriteState state;
  state.write_id = write.write_id;
  state.expected = current.version;
  state = RunWrite(write.ports.calls, write.path, stored, state,
                   write.ports.sleep_between_attempts);
  if (current.version && IsPlatformOlder(write, state)) {
    WriteState retry;
    retry.write_id = write.write_id;
    if (state.current) retry.expected = state.current->version;
    state = RunWrite(write.ports.calls, write.path, stored, retry,
                     write.ports.sleep_between_attempts);
  }
  return FinishWrite(write, stored, state);
}

// Validates the value against the other objects and the one that it replaces.
// Returns a reply if the write is rejected.
std::optional<Reply> ValidateWrite(Write* write, const ObjectState& current) {
  if (write->value.is_null()) {
    if (!current.exists()) {
      return ErrorReply(kStatusNotFound, Code::kNotFound);
    }
    write->warnings = DeletionWarnings(*write->configuration, write->name);
    return std::nullopt;
  }
  auto checked = CheckWrite(*write->configuration, write->name, write->value,
                            current.envelope ? &*current.envelope : nullptr);
  if (!checked.faults.empty()) return FaultsReply(checked.faults);
  write->warnings = std::move(checked.warnings);
  return std::nullopt;
}

// The version that the write produced if it took effect earlier: an operator
// whose connection broke repeats it with the same id.
std::optional<Revision> FindEarlierAcceptance(const Write& write,
                                              const ObjectState& current) {
  if (!current.version || !current.envelope) return std::nullopt;
  const StoredObject object{write.path, *current.version,
                            ToJson(*current.envelope)};
  const auto check =
      platform::ResolveWrite(&object, write.write_id, current.version);
  if (check.verdict != WriteVerdict::kApplied) return std::nullopt;
  return check.version;
}

// The state that the write replaces. If the state in force matches the
// precondition, it is used: that saves a call, and the conditional write
// verifies it. Otherwise the platform is asked. If a restored platform has an
// older version than the one in force, the latter counts, or an operator who
// knows only the old value would overwrite the new one unknowingly.
Result<ObjectState> FindCurrentState(const Write& write) {
  const ObjectState local = LocalState(*write.configuration, write.path);
  const bool is_unknown_drain =
      write.precondition.kind == PreconditionKind::kAny &&
      write.value.is_null() && !local.exists();
  if (Matches(write.precondition, local) && !is_unknown_drain) return local;
  auto stored = ReadPlatformState(write.ports.calls, write.path);
  if (!IsOk(stored) || ValueOf(stored).version >= local.version) {
    return stored;
  }
  return local;
}

Reply TryWrite(Write* write) {
  const auto found = FindCurrentState(*write);
  if (!IsOk(found)) return NotAcceptedReply(*write, ErrorOf(found).message);
  const ObjectState& current = ValueOf(found);
  if (const auto version = FindEarlierAcceptance(*write, current)) {
    return AcceptedReply(*write, *version);
  }
  if (!Matches(write->precondition, current)) return ConflictReply(current);
  if (auto rejection = ValidateWrite(write, current)) return *rejection;
  return ReplaceObject(*write, current);
}

// A drain without a precondition is retried with the version that the conflict
// reported.
Reply WriteWithRetries(Write* write) {
  Reply reply = TryWrite(write);
  if (write->precondition.kind != PreconditionKind::kAny) return reply;
  for (int i = 1; i < kMaxAttempts && reply.status == kStatusConflict; ++i) {
    const auto found = ReadPlatformState(write->ports.calls, write->path);
    if (!IsOk(found)) return NotAcceptedReply(*write, ErrorOf(found).message);
    if (auto rejection = ValidateWrite(write, ValueOf(found))) {
      return *rejection;
    }
    reply = ReplaceObject(*write, ValueOf(found));
  }
  return reply;
}

// The current view; waits for it for a few seconds. An instance that has just
// started gets its configuration from the platform or a peer very soon, so an
// operator's script that writes immediately need not fail.
std::shared_ptr<const settings::Configuration> WaitUntilLoaded(
    const Ports& ports) {
  constexpr int kMaxWaits = 50;
  auto configuration = ports.configuration();
  for (int i = 0; i < kMaxWaits && !IsLoaded(configuration.get()); ++i) {
    ports.sleep_between_attempts();
    configuration = ports.configuration();
  }
  return configuration;
}

Reply RunWriteRequest(const Ports& ports, const Request& request,
                      const ObjectName& name, Json value) {
  const auto precondition = ReadPrecondition(request, name.kind);
  if (!IsOk(precondition)) {
    const bool none = request.if_match.empty() && request.if_none_match.empty();
    return ErrorReply(none ? kStatusPreconditionRequired : kStatusBadRequest,
                      Code::kMalformedRequest, ErrorOf(precondition).message);
  }
  if (!request.write_id.empty() && !settings::IsName(request.write_id)) {
    return ErrorReply(kStatusBadRequest, Code::kMalformedRequest,
                      "X-Write-Id must be a valid name");
  }
  auto configuration = WaitUntilLoaded(ports);
  if (!IsLoaded(configuration.get())) return NotReadyReply();
  const std::string write_id = WriteIdOf(ports, request, value);
  Write write{ports,
              name,
              ToText(name),
              std::move(value),
              ValueOf(precondition),
              write_id,
              std::move(configuration),
              {}};
  const bool is_drain = name.kind == ObjectKind::kDrain;
  if (is_drain) AnnounceDrain(write);
  Reply reply = WriteWithRetries(&write);
  if (is_drain) FinishDrain(write, &reply);
  return reply;
}

}  // namespace

Reply HandlePut(const Ports& ports, const Request& request,
                const ObjectName& name) {
  auto value = ParseJson(request.body);
  if (!IsOk(value)) {
    return ErrorReply(kStatusBadRequest, Code::kMalformedRequest,
                      ErrorOf(value).message);
  }
  if (!ValueOf(value).is_object()) {
    return FaultsReply({{Code::kInvalidValue, "$", "must be an object"}});
  }
  return RunWriteRequest(ports, request, name, std::move(ValueOf(value)));
}

Reply HandleDelete(const Ports& ports, const Request& request,
                   const ObjectName& name) {
  return RunWriteRequest(ports, request, name, nullptr);
}

}  // namespace hibiscuspick::operators
