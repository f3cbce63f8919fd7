#include "hibiscuspick/edge/reply_check.h"

#include <algorithm>
#include <array>

namespace hibiscuspick::edge {
namespace {

// In the order of ReplyDefect.
constexpr std::array<std::string_view, kReplyDefectCount> kDefectNames = {
    "none",           "syntax",        "framing",
    "repeated_field", "no_request_id", "other_request_id",
    "content_coding", "no_stamp",      "not_run_success",
    "invalid_status"};

constexpr int kSwitchingProtocolsStatus = 101;
constexpr int kMisdirectedStatus = 421;

bool IsValidFinalStatus(int status) { return status >= 200 && status < 600; }

struct Field {
  int count = 0;
  std::string_view value;

  void Add(std::string_view it) {
    ++count;
    value = it;
  }
};

struct IdentifyingFields {
  Field request_id;
  Field stamp;
  Field not_run;
};

IdentifyingFields FieldsOf(const HttpReply& reply, const WireNames& names) {
  IdentifyingFields fields;
  for (const auto& it : reply.headers) {
    if (EqualsIgnoreCase(it.name, names.request_id)) {
      fields.request_id.Add(it.value);
    } else if (EqualsIgnoreCase(it.name, names.stamp)) {
      fields.stamp.Add(it.value);
    } else if (EqualsIgnoreCase(it.name, names.not_run)) {
      fields.not_run.Add(it.value);
    }
  }
  return fields;
}

ReplyVerdict Reject(ReplyDefect defect) { return {ReplyUse::kReject, defect}; }

bool HasHeader(const HttpReply& reply, std::string_view name) {
  return std::any_of(reply.headers.begin(), reply.headers.end(),
                     [&](auto& it) { return EqualsIgnoreCase(it.name, name); });
}

}  // namespace

std::string_view DefectName(ReplyDefect defect) {
  return kDefectNames[static_cast<size_t>(defect)];
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

bool IsInterim(int status) {
  return status >= 100 && status < 200 && status != kSwitchingProtocolsStatus;
}

ReplyVerdict JudgeReply(const HttpReply& reply,
                        const ReplyExpectation& expectation, bool is_first) {
  const bool is_encoded = HasHeader(reply, "Content-Encoding");
  if (expectation.names == nullptr) {
    if (!IsValidFinalStatus(reply.status)) {
      return Reject(ReplyDefect::kInvalidStatus);
    }
    return is_encoded ? Reject(ReplyDefect::kContentCoding) : ReplyVerdict{};
  }
  const auto fields = FieldsOf(reply, *expectation.names);
  const std::string_view id = fields.request_id.value;
  if (fields.request_id.count > 1) return Reject(ReplyDefect::kRepeatedField);
  if (!id.empty() && id != expectation.request_id) {
    return {ReplyUse::kSkip, ReplyDefect::kOtherRequestId};
  }
  if (id.empty() && !is_first) {
    return {ReplyUse::kSkip, ReplyDefect::kNoRequestId};
  }
  if (!IsValidFinalStatus(reply.status)) {
    return Reject(ReplyDefect::kInvalidStatus);
  }
  if (fields.stamp.count > 1 || fields.not_run.count > 1) {
    return Reject(ReplyDefect::kRepeatedField);
  }
  if (is_encoded) return Reject(ReplyDefect::kContentCoding);
  const bool success = IsSuccess(reply.status);
  const bool has_not_run = !fields.not_run.value.empty();
  // A server that cannot read the request's id refuses it without one.
  const bool is_refusal =
      !success && (has_not_run || reply.status == kMisdirectedStatus);
  if (id.empty() && !is_refusal && !expectation.request_id.empty()) {
    return Reject(ReplyDefect::kNoRequestId);
  }
  if (success && has_not_run) return Reject(ReplyDefect::kNotRunSuccess);
  if (success && fields.stamp.value.empty()) {
    return Reject(ReplyDefect::kNoStamp);
  }
  return {ReplyUse::kAnswer,
          id.empty() ? ReplyDefect::kNoRequestId : ReplyDefect::kNone};
}

}  // namespace hibiscuspick::edge
