#include "write.h"

#include <charconv>
#include <string>
#include <utility>

#include "hibiscuspick/base/hash.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/platform/accept_write.h"
#include "hibiscuspick/settings/cross_check.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/json_reader.h"
#include "hibiscuspick/settings/object_json.h"
#include "precondition.h"
#include "reply.h"

namespace hibiscuspick::operators {
namespace {

using platform::StoredObject;
using platform::WriteOutcome;
using platform::WriteState;
using platform::WriteVerdict;
using settings::Configuration;
using settings::Envelope;
using settings::ObjectKind;
using settings::ObjectName;

// Rounds of a drain without a precondition against racing writes.
constexpr int kMostRounds = 3;

// An object as last seen, at the platform or in force here; nothing at all if
// there never was one.
struct Present {
  std::optional<Revision> version;
  std::optional<Envelope> envelope;

  bool exists() const { return envelope && !envelope->deleted; }
};

// One write through its whole course.
struct Write {
  const Ports& ports;
  ObjectName name;
  std::string path;
  // Null deletes.
  Json value;
  Precondition precondition;
  std::string write_id;
  std::shared_ptr<const Configuration> configuration;
  std::vector<settings::Fault> warnings;
};

Present PresentOf(const StoredObject& object) {
  const auto envelope = settings::ReadEnvelope(object.value);
  Present present{object.version, std::nullopt};
  if (IsOk(envelope)) present.envelope = ValueOf(envelope);
  return present;
}

// What is in force here; empty if nothing ever was.
Present InForce(const Write& write) {
  const auto it = write.configuration->objects.find(write.path);
  if (it == write.configuration->objects.end()) return {};
  Present present{it->second.version, std::nullopt};
  const auto envelope = settings::ReadEnvelopeText(it->second.text);
  if (IsOk(envelope)) present.envelope = ValueOf(envelope);
  return present;
}

bool Matches(const Precondition& precondition, const Present& present) {
  switch (precondition.kind) {
    case PreconditionKind::kVersion:
      return present.exists() && present.version == precondition.version;
    case PreconditionKind::kAbsent:
      return !present.exists();
    case PreconditionKind::kAny:
      return true;
  }
  return false;
}

Result<Present> ReadPresent(const Write& write) {
  const auto result = write.ports.calls.get(platform::kConfigKind, write.path);
  if (IsOk(result)) return PresentOf(ValueOf(result));
  if (ErrorOf(result).code == Code::kNotFound) return Present{};
  return ErrorOf(result);
}

// An operator's own id is tied to the value and the condition, so that an id
// used twice by mistake never answers for another write.
std::string WriteIdOf(const Ports& ports, const Request& request,
                      const Json& value) {
  if (request.write_id.empty()) return ports.make_write_id();
  const uint64_t hash = Hash(request.if_match, Hash(DumpJson(value)));
  return request.write_id + "." + std::to_string(hash);
}

// The platform refused the write, and what it has instead couldn't be read.
Reply UnreadConflictReply() {
  return ErrorReply(kStatusConflict, Code::kVersionConflict,
                    "not accepted: the object was changed; the platform does "
                    "not answer what it is now");
}

Reply ConflictReply(const Present& present) {
  Reply reply = ErrorReply(kStatusConflict, Code::kVersionConflict);
  if (!present.version) {
    reply.body["version"] = nullptr;
    reply.body["value"] = nullptr;
    return reply;
  }
  reply.body["version"] = present.version->value;
  reply.body["value"] = present.envelope ? present.envelope->value : Json();
  if (present.envelope && present.envelope->deleted) {
    reply.body["deleted"] = true;
  }
  return reply;
}

Reply NotAcceptedReply(const Write& write, const std::string& message) {
  Reply reply =
      ErrorReply(kStatusUnavailable, Code::kPlatformUnavailable,
                 "not accepted: the platform did not take it. " + message);
  reply.body["write_id"] = write.write_id;
  return reply;
}

Reply UnknownReply(const Write& write, std::optional<Revision> expected) {
  Reply reply = ErrorReply(kStatusUnknown, Code::kAcceptanceUnknown);
  reply.body["write_id"] = write.write_id;
  reply.body["ask"] =
      "/v1/writes/" + write.path + "?write_id=" + write.write_id +
      "&expected=" + (expected ? std::to_string(expected->value) : "none");
  return reply;
}

// The value is stored, but in a version that other instances refuse.
Reply WentBackReply(const Write& write, Revision version) {
  Reply reply = ErrorReply(
      kStatusUnavailable, Code::kPlatformWentBack,
      "not accepted: the platform gave version " +
          std::to_string(version.value) +
          ", below what is in force. It was restored from a backup; see "
          "OPERATORS.md");
  reply.body["write_id"] = write.write_id;
  return reply;
}

// Fits the stored form into the platform's limit, at the cost of the oldest
// manifests; false if the value alone is too large.
bool FitIntoLimit(Envelope* envelope) {
  while (DumpJson(ToJson(*envelope)).size() > settings::kMaxStoredBytes) {
    if (envelope->previous.empty()) return false;
    envelope->previous.pop_back();
  }
  return true;
}

Reply AcceptedReply(const Write& write, Revision version) {
  Reply reply{kStatusOk,
              {{"version", version.value}, {"write_id", write.write_id}},
              ""};
  if (!write.warnings.empty()) {
    reply.body["warnings"] = FaultsJson(write.warnings);
  }
  return reply;
}

// A version that isn't above what is in force comes from a counter that was
// set back: nobody will take it.
bool WentBack(const Write& write, Revision version) {
  const auto known = InForce(write).version.value_or(Revision());
  return version <= known || version <= write.configuration->complete_to;
}

Reply Conclude(const Write& write, const Json& stored,
               const WriteState& state) {
  switch (state.outcome) {
    case WriteOutcome::kNotTaken:
      return NotAcceptedReply(write, "");
    case WriteOutcome::kUnknown:
      Log(Part::kConfig)
          .warn("{} write {} has no known outcome", write.path, write.write_id);
      return UnknownReply(write, state.expected);
    case WriteOutcome::kConflict:
      if (state.present) return ConflictReply(PresentOf(*state.present));
      return state.absent ? ConflictReply({}) : UnreadConflictReply();
    case WriteOutcome::kAccepted:
      break;
  }
  if (WentBack(write, state.version)) {
    Log(Part::kConfig)
        .error("{} got version {} below what is in force", write.path,
               state.version.value);
    return WentBackReply(write, state.version);
  }
  Log(Part::kConfig)
      .info("{} accepted at version {}", write.path, state.version.value);
  write.ports.on_accepted({write.path, state.version, DumpJson(stored)});
  return AcceptedReply(write, state.version);
}

// Whether the platform has the object older than it is in force, or not at all
// any more: only a restore does that.
bool PlatformIsOlder(const Write& write, const WriteState& state) {
  if (state.outcome != WriteOutcome::kConflict) return false;
  if (!state.present) return state.absent;
  return state.present->version < InForce(write).version.value_or(Revision());
}

// Writes over `present`, and once more over what a restored platform has in
// its place: the operator named the version in force, so nothing of his is
// overwritten unseen, and the platform gets back what it lost.
Reply WriteOver(const Write& write, const Present& present) {
  Envelope next = NextEnvelope(
      present.envelope, present.version.value_or(Revision()), write.value,
      write.write_id, write.name.kind == ObjectKind::kSnapshot);
  if (!FitIntoLimit(&next)) {
    return ErrorReply(kStatusTooLarge, Code::kRequestTooLarge,
                      "the stored value would be over 1 MB");
  }
  const Json stored = ToJson(next);
  WriteState state;
  state.write_id = write.write_id;
  state.expected = present.version;
  state =
      RunWrite(write.ports.calls, write.path, stored, state, write.ports.pause);
  if (present.version && PlatformIsOlder(write, state)) {
    WriteState again;
    again.write_id = write.write_id;
    if (state.present) again.expected = state.present->version;
    state = RunWrite(write.ports.calls, write.path, stored, again,
                     write.ports.pause);
  }
  return Conclude(write, stored, state);
}

// Checks the value against the others and what it replaces; a reply if it may
// not be written.
std::optional<Reply> Refuse(Write* write, const Present& present) {
  if (write->value.is_null()) {
    if (!present.exists()) {
      return ErrorReply(kStatusNotFound, Code::kNotFound);
    }
    write->warnings = WarningsOfDeletion(*write->configuration, write->name);
    return std::nullopt;
  }
  auto checked = CheckWrite(*write->configuration, write->name, write->value,
                            present.envelope ? &*present.envelope : nullptr);
  if (!checked.faults.empty()) return FaultsReply(checked.faults);
  write->warnings = std::move(checked.warnings);
  return std::nullopt;
}

// The version the write had if it took effect earlier: an operator whose
// connection broke sends it again with the same id.
std::optional<Revision> TakenEarlier(const Write& write,
                                     const Present& present) {
  if (!present.version || !present.envelope) return std::nullopt;
  const StoredObject object{write.path, *present.version,
                            ToJson(*present.envelope)};
  const auto judged =
      platform::JudgeWrite(&object, write.write_id, present.version);
  if (judged.verdict != WriteVerdict::kTaken) return std::nullopt;
  return judged.version;
}

// What the write is to replace: as in force if that fits the precondition,
// which saves a call and is proved by the conditional write; else as the
// platform has it now. A restored platform may have it older than it is in
// force; then what is in force counts, or an operator who knows only the old
// value would overwrite the new one unseen.
Result<Present> FindPresent(const Write& write) {
  const Present in_force = InForce(write);
  const bool lost_drain = write.precondition.kind == PreconditionKind::kAny &&
                          write.value.is_null() && !in_force.exists();
  if (Matches(write.precondition, in_force) && !lost_drain) return in_force;
  const auto stored = ReadPresent(write);
  if (!IsOk(stored) || ValueOf(stored).version >= in_force.version) {
    return stored;
  }
  return in_force;
}

Reply RunRound(Write* write) {
  const auto found = FindPresent(*write);
  if (!IsOk(found)) return NotAcceptedReply(*write, ErrorOf(found).message);
  const Present& present = ValueOf(found);
  if (const auto version = TakenEarlier(*write, present)) {
    return AcceptedReply(*write, *version);
  }
  if (!Matches(write->precondition, present)) return ConflictReply(present);
  if (auto refused = Refuse(write, present)) return *refused;
  return WriteOver(*write, present);
}

// A drain without a precondition takes the version a conflict names and tries
// again.
Reply RunRounds(Write* write) {
  Reply reply = RunRound(write);
  if (write->precondition.kind != PreconditionKind::kAny) return reply;
  for (int i = 1; i < kMostRounds && reply.status == kStatusConflict; ++i) {
    const auto found = ReadPresent(*write);
    if (!IsOk(found)) return NotAcceptedReply(*write, ErrorOf(found).message);
    if (auto refused = Refuse(write, ValueOf(found))) return *refused;
    reply = WriteOver(*write, ValueOf(found));
  }
  return reply;
}

// Work has to stop going to a broken server at once, and also while the
// platform is down: a silent platform alone would hold this for ten seconds.
void SpreadDrain(const Write& write) {
  const settings::Drain drain{BackendServerId(write.name.rest), ""};
  if (write.value.is_null()) return;
  if (!IsGood(settings::ReadDrain(drain.server, write.value))) return;
  write.ports.announce_drain(drain.server, true);
}

// Says that an order is only spread, which instances that start later learn
// of no longer than others remember, and calls one back that isn't in force.
void ConcludeDrain(const Write& write, Reply* reply) {
  const BackendServerId server(write.name.rest);
  const bool unstored =
      reply->status == kStatusUnavailable || reply->status == kStatusUnknown;
  if (write.value.is_null()) {
    // A stored order to drain stays in force until it is deleted there.
    const bool stays = write.configuration->drains.contains(server);
    if (stays && reply->status != kStatusOk) return;
    write.ports.announce_drain(server, false);
  } else if (reply->status == kStatusConflict) {
    const bool there =
        reply->body.contains("value") && !reply->body["value"].is_null();
    if (!there) write.ports.announce_drain(server, false);
  }
  if (!unstored) return;
  reply->body["spread"] = true;
  reply->body["stored"] = false;
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
                      "X-Write-Id must be a name");
  }
  auto configuration = ports.configuration();
  if (!IsKnown(configuration.get()))
    return ErrorReply(kStatusUnavailable, Code::kNotReady);
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
  if (is_drain) SpreadDrain(write);
  Reply reply = RunRounds(&write);
  if (is_drain) ConcludeDrain(write, &reply);
  return reply;
}

std::string ParameterOf(const Request& request, const std::string& key) {
  const auto it = request.parameters.find(key);
  return it == request.parameters.end() ? "" : it->second;
}

Reply AskReply(const std::string& outcome) {
  return {kStatusOk, {{"outcome", outcome}}, ""};
}

// The version the write was conditional on; nothing for "none".
Result<std::optional<Revision>> ReadExpected(const std::string& text) {
  if (text == "none") return std::optional<Revision>();
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec == std::errc() && rest == end) {
    return std::optional<Revision>(Revision(number));
  }
  return Error{Code::kMalformedRequest, "",
               "expected must be the version the write named, or none"};
}

Reply JudgedReply(const platform::Judgement& judged) {
  switch (judged.verdict) {
    case WriteVerdict::kTaken: {
      Reply reply = AskReply("accepted");
      reply.body["version"] = judged.version.value;
      return reply;
    }
    case WriteVerdict::kNotTaken:
      return AskReply("not_accepted");
    case WriteVerdict::kOpen:
      return AskReply("open");
    case WriteVerdict::kUnknown:
      break;
  }
  return ErrorReply(kStatusUnknown, Code::kAcceptanceUnknown,
                    "too many writes came after it to tell");
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

Reply HandleAsk(const Ports& ports, const Request& request,
                const ObjectName& name) {
  const std::string write_id = ParameterOf(request, "write_id");
  const auto expected = ReadExpected(ParameterOf(request, "expected"));
  if (write_id.empty() || !IsOk(expected)) {
    return ErrorReply(kStatusBadRequest, Code::kMalformedRequest,
                      "write_id and expected are needed, as the 504 gave them");
  }
  const auto result = ports.calls.get(platform::kConfigKind, ToText(name));
  const bool found = IsOk(result);
  if (!found && ErrorOf(result).code != Code::kNotFound) {
    return ErrorReply(kStatusUnavailable, Code::kPlatformUnavailable);
  }
  return JudgedReply(platform::JudgeWrite(found ? &ValueOf(result) : nullptr,
                                          write_id, ValueOf(expected)));
}

}  // namespace hibiscuspick::operators
