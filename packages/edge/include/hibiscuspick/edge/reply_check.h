// Decides whether a reply is an answer to the request it arrived for. Asked
// once for each reply and before anything of it is used: its status, body,
// headers or latency.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/wire_names.h"

namespace hibiscuspick::edge {

// Why a reply is no answer, or not certainly one.
enum class ReplyDefect {
  kNone,
  // Not an HTTP/1.1 reply.
  kSyntax,
  // ReadState::kUnknownFraming.
  kFraming,
  // A field that identifies the reply occurs more than once.
  kRepeatedField,
  kNoRequestId,
  // The id of another request.
  kOtherRequestId,
  // The body has a coding, which no request asks for.
  kContentCoding,
  // A success without the server's stamp.
  kNoStamp,
  // A success that claims not to have run.
  kNotRunSuccess,
  // A status outside of 100 to 599, or 101, which no request asks for.
  kInvalidStatus,
};
inline constexpr size_t kReplyDefectCount =
    static_cast<size_t>(ReplyDefect::kInvalidStatus) + 1;
std::string_view DefectName(ReplyDefect defect);

enum class ReplyUse {
  // The reply to the request.
  kAnswer,
  // Possibly a late reply to an earlier request; the reply to this one may
  // follow.
  kSkip,
  // No answer, and none can follow. The request may have run.
  kReject,
};

struct ReplyVerdict {
  ReplyUse use = ReplyUse::kAnswer;
  // Also set for kAnswer if a late copy of the reply could not be told from
  // the reply to another request. The connection is not used again then.
  ReplyDefect defect = ReplyDefect::kNone;
};

// What the reply to a request to a backend server contains.
struct ReplyExpectation {
  // Owned by the caller; null if nothing is expected, as of other instances.
  const WireNames* names = nullptr;
  std::string request_id;
};

bool IsSuccess(int status);
// Whether the final reply follows (RFC 9110, 15.2).
bool IsInterim(int status);

// Judges a complete, final reply. `is_first`: no other reply can arrive on the
// connection, since nothing was sent on it before this request.
ReplyVerdict JudgeReply(const HttpReply& reply,
                        const ReplyExpectation& expectation, bool is_first);

}  // namespace hibiscuspick::edge
