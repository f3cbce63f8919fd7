#include "present.h"

namespace hibiscuspick::operators {

Present PresentOf(const platform::StoredObject& object) {
  const auto envelope = settings::ReadEnvelope(object.value);
  Present present{object.version, std::nullopt};
  if (IsOk(envelope)) present.envelope = ValueOf(envelope);
  return present;
}

Present InForce(const settings::Configuration& configuration,
                const std::string& path) {
  const auto it = configuration.objects.find(path);
  if (it == configuration.objects.end()) return {};
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

Result<Present> ReadPresent(const platform::Calls& calls,
                            const std::string& path) {
  const auto result = calls.get(platform::kConfigKind, path);
  if (IsOk(result)) return PresentOf(ValueOf(result));
  if (ErrorOf(result).code == Code::kNotFound) return Present{};
  return ErrorOf(result);
}

}  // namespace hibiscuspick::operators
