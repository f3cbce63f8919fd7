// HTTP/1.1 messages: read by Boost.Beast's parsers from bytes as they come,
// written as text.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
  // How much of the caller's time the way to this instance and back takes, as
  // far as it is known.
  std::optional<Millis> on_the_way;
  // Whether the connection may be used again, by version and header.
  bool keep_alive = true;
};

struct HttpReply {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;
  // Ended with the connection, for want of a length.
  bool until_close = false;
};

// ASCII letters of either case are equal.
bool SameName(std::string_view a, std::string_view b);

// The first header of that name; empty if there is none.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

// The items of a header's value that is a list, without the blanks round them.
std::vector<std::string_view> SplitList(std::string_view list);

// The whole number that the text is; nothing if it is anything else.
std::optional<int64_t> WholeNumber(std::string_view text);

// Headers that concern one connection only, and the message's framing: those
// of the standard, and those that `Connection` names.
bool IsHopByHop(std::string_view name);
std::vector<Header> EndToEnd(const std::vector<Header>& headers);

// How far a reader is. Each fault says what to answer: 400 for a message that
// breaks the protocol, 431 and 413 for the two bounds.
enum class ReadState { kMore, kDone, kMalformed, kHeaderTooBig, kBodyTooBig };

// Reads one request. Refuses what could be read in two ways (two lengths, a
// length beside chunks, bare line ends), since a backend server that reads it
// the other way would run a request that nobody sent.
class RequestReader {
 public:
  RequestReader(size_t header_bytes, size_t body_bytes);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Takes bytes from the front of `buf`, which keeps what follows the request.
  ReadState Read(std::string* buf);
  // Whether any byte was taken.
  bool started() const;
  // Whether the head is whole and asks to be told to go on with the body.
  bool WantsContinue() const;
  // The request; once, after kDone.
  HttpRequest Take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Reads one reply.
class ReplyReader {
 public:
  // `to_head`: the reply to a HEAD request, which has no body.
  ReplyReader(bool to_head, size_t body_bytes);
  ~ReplyReader();
  ReplyReader(const ReplyReader&) = delete;
  ReplyReader& operator=(const ReplyReader&) = delete;

  ReadState Read(std::string* buf);
  // The connection ended in order: kDone if that ends the reply, else
  // kMalformed.
  ReadState ReadEnd();
  HttpReply Take();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A whole request with a length, if it has a body or its method usually has.
std::string ToText(const HttpRequest& request);

// A whole reply with a length; `closes` adds that the connection ends after
// it. `to_head` leaves the body out.
std::string ToText(const HttpReply& reply, bool closes, bool to_head);

// The standard phrase of the status.
std::string_view StatusPhrase(int status);

}  // namespace hibiscuspick::edge
