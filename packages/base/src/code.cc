#include "hibiscuspick/base/code.h"

#include <algorithm>
#include <array>

namespace hibiscuspick {
namespace {

constexpr std::array kTable = {
    CodeRow{Code::kOk, "ok", "Nothing went wrong."},
    CodeRow{Code::kMalformedRequest, "malformed_request",
            "The request is not what the API describes; the message names the "
            "place."},
    CodeRow{Code::kUnknownRoute, "unknown_route",
            "No route of this name is configured."},
    CodeRow{Code::kUnknownService, "unknown_service",
            "No service of this name is configured."},
    CodeRow{Code::kRequestTooLarge, "request_too_large",
            "The body or a header is over the limit."},
    CodeRow{Code::kUnauthorized, "unauthorized",
            "The bearer token is missing or wrong."},
    CodeRow{Code::kNotFound, "not_found", "Nothing is stored at this path."},
    CodeRow{Code::kNotReady, "not_ready",
            "The instance has no configuration yet."},
    CodeRow{Code::kLeaving, "leaving",
            "The instance is stopping and takes no new requests."},
    CodeRow{Code::kCallerGone, "caller_gone",
            "The caller closed its connection before the answer."},
    CodeRow{Code::kNoSnapshot, "no_snapshot",
            "The route names a snapshot that is not configured."},
    CodeRow{Code::kSnapshotGone, "snapshot_gone",
            "The pinned snapshot is no longer held and no time is left for a "
            "newer one."},
    CodeRow{Code::kCustomerLimit, "customer_limit",
            "The customer's rate or concurrency limit is used up."},
    CodeRow{Code::kDeadlineUnreachable, "deadline_unreachable",
            "The deadline cannot be met by the work already waiting."},
    CodeRow{Code::kQueueFull, "queue_full", "The lane's queue is full."},
    CodeRow{Code::kNoServer, "no_server",
            "No backend server that may take the work is known."},
    CodeRow{Code::kConnectFailed, "connect_failed",
            "The backend server's address could not be connected to."},
    CodeRow{Code::kReadFailed, "read_failed",
            "The connection broke before the reply was whole."},
    CodeRow{Code::kBadReply, "bad_reply",
            "The reply is not what the contract describes."},
    CodeRow{Code::kDeadlineExceeded, "deadline_exceeded",
            "The deadline passed before a whole reply."},
    CodeRow{Code::kWrongEcho, "wrong_echo",
            "The reply's attempt, snapshot or server is not the one asked."},
    CodeRow{Code::kVersionNotHeld, "version_not_held",
            "The backend server does not hold the pinned index version."},
    CodeRow{Code::kShed, "shed",
            "The backend server refused the attempt and did not run it."},
    CodeRow{Code::kBackendError, "backend_error",
            "The backend server answered with an error status."},
    CodeRow{Code::kCancelled, "cancelled",
            "The attempt was cancelled because it was no longer needed."},
    CodeRow{Code::kReplyTooLarge, "reply_too_large",
            "The reply is over the size limit."},
    CodeRow{Code::kNotWaitedFor, "not_waited_for",
            "The answer was given before this shard's reply because "
            "min_coverage was reached."},
    CodeRow{Code::kOwnerUnreachable, "owner_unreachable",
            "No instance that could reach the shard's servers answered."},
    CodeRow{Code::kKeyInUse, "key_in_use",
            "The record's key was used with another body."},
    CodeRow{Code::kOutcomeUnknown, "outcome_unknown",
            "The record may have run; its outcome is not known."},
    CodeRow{Code::kKeyTooOld, "key_too_old",
            "The record's key is outside the window of remembered keys."},
    CodeRow{Code::kRecordFailed, "record_failed",
            "The record was refused by the backend server."},
    CodeRow{Code::kInvalidValue, "invalid_value",
            "The value has faults; each is listed with its place."},
    CodeRow{Code::kVersionConflict, "version_conflict",
            "The object was changed since the version the write names."},
    CodeRow{Code::kAcceptanceUnknown, "acceptance_unknown",
            "Whether the write took effect is not known; ask again by its "
            "write id."},
    CodeRow{Code::kPlatformUnavailable, "platform_unavailable",
            "The platform did not take the call."},
    CodeRow{Code::kPlatformConflict, "platform_conflict",
            "The platform's object has another version."},
    CodeRow{Code::kPlatformReplyLost, "platform_reply_lost",
            "The platform's reply to a write was lost."},
    CodeRow{Code::kPlatformWentBack, "platform_went_back",
            "The platform gave a lower version than one known to be in "
            "force."},
    CodeRow{Code::kPeerRefused, "peer_refused",
            "The other instance did not accept the shared key."},
    CodeRow{Code::kPeerVersion, "peer_version",
            "The other instance speaks a protocol version that is not "
            "supported."},
    CodeRow{Code::kPeerUnreachable, "peer_unreachable",
            "The other instance could not be reached."},
};

const CodeRow* FindRow(Code code) {
  const auto it = std::find_if(kTable.begin(), kTable.end(),
                               [&](auto& row) { return row.code == code; });
  return it == kTable.end() ? nullptr : &*it;
}

}  // namespace

std::span<const CodeRow> CodeTable() { return kTable; }

std::string_view CodeName(Code code) {
  const auto* row = FindRow(code);
  return row ? row->name : "unknown";
}

std::string_view CodeMeaning(Code code) {
  const auto* row = FindRow(code);
  return row ? row->meaning : "";
}

std::string_view RanName(Ran ran) { return ran == Ran::kNo ? "no" : "maybe"; }

}  // namespace hibiscuspick
