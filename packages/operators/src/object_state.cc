#include "object_state.h"

namespace hibiscuspick::operators {

ObjectState ObjectStateOf(const platform::StoredObject& object) {
  const auto envelope = settings::ReadEnvelope(object.value);
  ObjectState state{object.version, std::nullopt};
  if (IsOk(envelope)) state.envelope = ValueOf(envelope);
  return state;
}

ObjectState LocalState(const settings::Configuration& configuration,
                       const std::string& path) {
  const auto it = configuration.objects.find(path);
  if (it == configuration.objects.end()) return {};
  ObjectState state{it->second.version, std::nullopt};
  const auto envelope = settings::ReadEnvelopeText(it->second.text);
  if (IsOk(envelope)) state.envelope = ValueOf(envelope);
  return state;
}

bool Matches(const Precondition& precondition, const ObjectState& current) {
  switch (precondition.kind) {
    case PreconditionKind::kVersion:
      return current.exists() && current.version == precondition.version;
    case PreconditionKind::kAbsent:
      return !current.exists();
    case PreconditionKind::kAny:
      return true;
  }
  return false;
}

Result<ObjectState> ReadPlatformState(const platform::Calls& calls,
                                      const std::string& path) {
  const auto result = calls.get(platform::kConfigKind, path);
  if (IsOk(result)) return ObjectStateOf(ValueOf(result));
  if (ErrorOf(result).code == Code::kNotFound) return ObjectState{};
  return ErrorOf(result);
}

}  // namespace hibiscuspick::operators
