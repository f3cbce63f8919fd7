// Queries that instances forward to each other, and their answers, as messages.
//
// The caller's request and the answer to it are embedded whole, as HTTP, after
// a line of JSON with the parameters of the instances. The two never share a
// list of headers, so that no header of a caller or of a server can be taken
// for a parameter, whatever its name. An instance of an earlier release finds
// no query in such a message and answers kVersionMismatchStatus, as this one
// does to its queries; the sender then runs the query itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/engine/allowance_messages.h"
#include "hibiscuspick/engine/lag_meter.h"

namespace hibiscuspick::edge {

inline constexpr std::string_view kQueryPath = "/query";

// Bytes of a message besides the embedded one.
inline constexpr size_t kMaxParameterBytes = 65536;

// Status of a peer with another version of the configuration or another
// protocol: all parts of an answer, and all answers of one instance, must come
// from one version.
inline constexpr int kVersionMismatchStatus = 409;
// Status of a peer that cannot reach enough servers, before any has run the
// query, or that is stopping. The forwarding instance then sends the query
// itself and so finds out whether it is cut off too. From the peer's refusals
// alone it would keep accepting callers that the balancer could send elsewhere.
inline constexpr int kServersUnreachableStatus = 424;

// Time left of the deadlines of a query that a peer has forwarded.
struct ForwardedDeadlines {
  Millis answer_in;
  Millis deadline_in;
  bool is_retry = false;
  // Measured distribution of the time from `answer_in` until the peer has the
  // answer. The typical lag is already subtracted from `answer_in`.
  std::optional<engine::LagBounds> lags = std::nullopt;
};

struct ForwardedQuery {
  uint64_t config_version = 0;
  ForwardedDeadlines deadlines;
  // Indices, within the route, of the shards to query, in rising order; empty
  // for all.
  std::vector<size_t> shard_indices;
  // The account of the query's caller; empty if there is none.
  ClientAccountId account;
  // Set if this query asks for the parts that were still open in an earlier
  // answer: the token of that answer, and how many of the parts are needed.
  struct Remainder {
    std::string token;
    size_t needed = 0;
  };
  Remainder remainder;
  // What the sender knows of servers that ended under this request, see
  // FormatReport; empty if nothing.
  std::string quarantine_report;
};

// What the answer to a query for some shards says of them. All are indices
// within the route.
struct ShardStates {
  // Those whose results are included, in the order of their stamps; nullopt if
  // the query failed.
  std::optional<std::vector<size_t>> received;
  // The missing ones that have used all attempts the route allows.
  std::vector<size_t> exhausted;
  // The missing ones that have run on no server and will not, and those among
  // them that servers have refused. The latter have used their first attempt.
  std::vector<size_t> not_run;
  std::vector<size_t> refused;
};

struct PeerAnswer {
  // For the caller. Status 0 if the peer did not run the query.
  HttpReply reply;
  ShardStates shards;
  // Shards that may still reply, and the token with which to ask for them
  // within kRemainderTtl.
  std::vector<size_t> open_shards;
  std::string remainder_token;
  // How long the peer had the query.
  std::optional<Millis> processing_time;
  // The fraction of time its loop is busy.
  std::optional<double> utilisation;
  // The peer's data centre is cut off from the others. Only with
  // kServersUnreachableStatus.
  bool is_cut_off = false;
  std::string quarantine_report;
  // With a 429: for how long the account's new requests are refused, when the
  // next caller that is refused is to return and how much later each further
  // one. Without the account's name.
  std::optional<engine::TokenGrant> allowance_refusal;
};

// Whether the request can be a message of an instance: one with the headers
// that instances send and no other. In an earlier release callers' headers were
// sent with the instances' own.
bool IsPeerMessage(const HttpRequest& request);

// The message with the query and the caller's request, to the peer at `to`.
std::string EncodeForwardedQuery(const ForwardedQuery& query,
                                 const HttpRequest& request, const Address& to);

struct DecodedQuery {
  ForwardedQuery query;
  HttpRequest request;
};
// Nullopt if the message has another format or is malformed.
std::optional<DecodedQuery> DecodeForwardedQuery(const HttpRequest& message);

// The reply to a peer. `status`: kServersUnreachableStatus, without the answer
// for the caller, or 200.
HttpReply EncodePeerAnswer(const PeerAnswer& answer, int status);
// Nullopt if the message has another format or is malformed.
std::optional<PeerAnswer> DecodePeerAnswer(const HttpReply& message);

}  // namespace hibiscuspick::edge
