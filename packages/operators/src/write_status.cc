#include "write_status.h"

#include <charconv>
#include <optional>
#include <string>

#include "hibiscuspick/platform/accept_write.h"
#include "reply.h"

namespace hibiscuspick::operators {
namespace {

std::string ParameterOf(const Request& request, const std::string& key) {
  const auto it = request.parameters.find(key);
  return it == request.parameters.end() ? "" : it->second;
}

Reply OutcomeReply(const std::string& outcome) {
  return {kStatusOk, {{"outcome", outcome}}, ""};
}

// The version in the write's condition; nullopt for "none".
Result<std::optional<Revision>> ReadExpected(const std::string& text) {
  if (text == "none") return std::optional<Revision>();
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec == std::errc() && rest == end) {
    return std::optional<Revision>(Revision(number));
  }
  return Error{
      Code::kMalformedRequest, "",
      "expected must be the version in the write's condition, or none"};
}

Reply WriteStatusReply(const platform::WriteResolution& check) {
  switch (check.verdict) {
    case platform::WriteVerdict::kApplied: {
      Reply reply = OutcomeReply("accepted");
      reply.body["version"] = check.version.value;
      return reply;
    }
    case platform::WriteVerdict::kNotApplied:
      return OutcomeReply("not_accepted");
    case platform::WriteVerdict::kPending:
      return OutcomeReply("open");
    case platform::WriteVerdict::kUnknown:
      break;
  }
  return ErrorReply(
      kStatusGatewayTimeout, Code::kAcceptanceUnknown,
      "too many later writes have replaced the record of this write");
}

}  // namespace

Reply HandleWriteStatus(const Ports& ports, const Request& request,
                        const settings::ObjectName& name) {
  const std::string write_id = ParameterOf(request, "write_id");
  const auto expected = ReadExpected(ParameterOf(request, "expected"));
  if (write_id.empty() || !IsOk(expected)) {
    return ErrorReply(
        kStatusBadRequest, Code::kMalformedRequest,
        "write_id and expected are required, as given in the 504 reply");
  }
  const auto result = ports.calls.get(platform::kConfigKind, ToText(name));
  const bool found = IsOk(result);
  if (!found && ErrorOf(result).code != Code::kNotFound) {
    return ErrorReply(kStatusUnavailable, Code::kPlatformUnavailable);
  }
  return WriteStatusReply(platform::ResolveWrite(
      found ? &ValueOf(result) : nullptr, write_id, ValueOf(expected)));
}

}  // namespace hibiscuspick::operators
