// HTTP/1.1 messages: incremental parsers on top of Boost.Beast, and
// serialisation to text.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::edge {

struct Header {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  // The account that the caller's key names, resolved by the instance that the
  // caller is connected to; empty if there is none.
  ClientAccountId account;
  // Network time between the caller and this instance that counts against the
  // caller's deadline (request and reply); unset if unknown.
  std::optional<Millis> network_time;
  // Whether the connection can be reused, by HTTP version and Connection
  // header.
  bool keep_alive = true;
};

struct HttpReply {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;
  // The body ended with the connection because the reply had no length.
  bool until_close = false;
};

// Compares header names, ignoring ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Value of the first header of that name; empty if there is none.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

// Splits a comma-separated header value and trims spaces and tabs around the
// items.
std::vector<std::string_view> SplitList(std::string_view list);

// Parses a decimal integer; nullopt unless the whole text is one.
std::optional<int64_t> ParseInteger(std::string_view text);

// Whether the header applies to a single connection or to message framing.
// EndToEndHeaders also drops the headers named by `Connection`, except those in
// `required`.
bool IsHopByHop(std::string_view name);
std::vector<Header> EndToEndHeaders(
    const std::vector<Header>& headers,
    const std::vector<std::string_view>& required = {});

// The headers of a server's reply that callers get: the end-to-end ones, and
// of those that have one value only the first.
std::vector<Header> CallerHeaders(const std::vector<Header>& headers);

// State of a reader. The errors correspond to a status: 400 for a malformed
// message, 431 for too large headers, 413 for too large a body or its framing:
// the chunk headers and trailers.
enum class ReadState {
  kMore,
  kDone,
  kMalformed,
  kHeaderTooBig,
  kBodyTooBig,
  kFramingTooBig,
  // Of replies: the headers do not say clearly where the body ends, or the body
  // has a transfer coding other than `chunked`.
  kUnknownFraming
};

// What a reader may hold of one message. An element that must be whole before
// it is parsed (the headers, a chunk header, the trailers) may have
// `header_bytes`, and the message with its framing twice the sum of both.
struct MessageLimits {
  size_t header_bytes = 0;
  size_t body_bytes = 0;
};

// Limit of the headers of a reply. Larger than that of requests, since backend
// servers are trusted.
inline constexpr size_t kMaxReplyHeaderBytes = 65536;

// Parses one request. Rejects ambiguous messages (two lengths, a length
// together with chunked encoding, bare LF line ends): a backend server that
// parsed them differently would run a request that no caller sent (request
// smuggling).
class RequestReader {
 public:
  explicit RequestReader(const MessageLimits& limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Consumes bytes from the front of `buf`; bytes after the request stay in it.
  ReadState Read(std::string* buf);
  // Whether any byte has been consumed.
  bool started() const;
  // Memory held by the body received so far.
  size_t body_capacity() const;
  // Whether the headers are complete and contain `Expect: 100-continue`.
  bool ExpectsContinue() const;
  // Returns the request; call once, after kDone.
  HttpRequest Take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Parses one reply. Stops after the headers if the framing is unknown: a body
// of another coding would be passed on as if it were the server's, and one of
// another length would become the next reply.
class ReplyReader {
 public:
  // `is_head`: the reply is to a HEAD request and has no body.
  ReplyReader(bool is_head, const MessageLimits& limits);
  ~ReplyReader();
  ReplyReader(const ReplyReader&) = delete;
  ReplyReader& operator=(const ReplyReader&) = delete;

  ReadState Read(std::string* buf);
  // Handles the end of the stream: kDone if that completes the reply, otherwise
  // kMalformed.
  ReadState ReadEnd();
  HttpReply Take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Serialises a request. Adds Content-Length if there is a body or the method
// usually has one.
std::string ToText(const HttpRequest& request);

// Serialises a reply with Content-Length. `closes` adds `Connection: close`;
// `is_head` omits the body.
std::string ToText(const HttpReply& reply, bool closes, bool is_head);

// The standard reason phrase of the status.
std::string_view ReasonPhrase(int status);

}  // namespace hibiscuspick::edge
