#include "write_reply.h"

#include "reply.h"

namespace hibiscuspick::operators {

Reply ConflictReplyWithoutState() {
  return ErrorReply(kStatusConflict, Code::kVersionConflict,
                    "not accepted: the object was changed, and its current "
                    "value could not be read from the platform");
}

Reply ConflictReply(const ObjectState& current) {
  Reply reply = ErrorReply(kStatusConflict, Code::kVersionConflict);
  if (!current.version) {
    reply.body["version"] = nullptr;
    reply.body["value"] = nullptr;
    return reply;
  }
  reply.body["version"] = current.version->value;
  reply.body["value"] = current.envelope ? current.envelope->value : Json();
  if (current.envelope && current.envelope->deleted) {
    reply.body["deleted"] = true;
  }
  return reply;
}

Reply NotAcceptedReply(const Write& write, const std::string& message) {
  Reply reply = ErrorReply(
      kStatusUnavailable, Code::kPlatformUnavailable,
      "not accepted: the platform did not accept the write. " + message);
  reply.body["write_id"] = write.write_id;
  return reply;
}

Reply UnknownReply(const Write& write, std::optional<Revision> expected) {
  Reply reply = ErrorReply(kStatusGatewayTimeout, Code::kAcceptanceUnknown);
  reply.body["write_id"] = write.write_id;
  reply.body["ask"] =
      "/v1/writes/" + write.path + "?write_id=" + write.write_id +
      "&expected=" + (expected ? std::to_string(expected->value) : "none");
  return reply;
}

Reply VersionRegressionReply(const Write& write, Revision version) {
  Reply reply = ErrorReply(
      kStatusUnavailable, Code::kPlatformWentBack,
      "not accepted: the platform assigned version " +
          std::to_string(version.value) +
          ", which is not above the newest revision in force. It was restored "
          "from a backup; see "
          "OPERATORS.md");
  reply.body["write_id"] = write.write_id;
  return reply;
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

}  // namespace hibiscuspick::operators
