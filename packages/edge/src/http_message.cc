#include "hibiscuspick/edge/http_message.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <utility>

namespace hibiscuspick::edge {
namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 10> kHopByHop = {
    "Connection",         "Content-Length",   "Expect", "Keep-Alive",
    "Proxy-Authenticate", "Proxy-Connection", "TE",     "Trailer",
    "Transfer-Encoding",  "Upgrade"};

// Response headers that may occur only once.
constexpr std::array<std::string_view, 11> kSingleValued = {
    "Age",   "Content-Location", "Content-Range", "Content-Type", "Date",
    "ETag",  "Expires",          "Last-Modified", "Location",     "Retry-After",
    "Server"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string ToString(boost::beast::string_view it) {
  return {it.data(), it.size()};
}

// The parser takes part of the bytes in each call. Its check of an announced
// length is lost if it goes on to the body in the same call, so that it reads
// the headers by themselves.
template <class Parser>
size_t Feed(Parser* parser, const std::string& buf,
            boost::system::error_code* ec) {
  size_t consumed = 0;
  while (!parser->is_done() && consumed < buf.size()) {
    parser->eager(parser->is_header_done());
    const size_t n = parser->put(
        boost::asio::buffer(buf.data() + consumed, buf.size() - consumed), *ec);
    consumed += n;
    if (*ec || n == 0) break;
  }
  return consumed;
}

template <class Parser>
ReadState StateOf(const Parser& parser, const boost::system::error_code& ec) {
  if (parser.is_done() && (!ec || ec == http::error::need_more)) {
    return ReadState::kDone;
  }
  if (!ec || ec == http::error::need_more) return ReadState::kMore;
  if (ec == http::error::header_limit) return ReadState::kHeaderTooBig;
  if (ec == http::error::body_limit) return ReadState::kBodyTooBig;
  return ReadState::kMalformed;
}

// A parser with the limits that it does not check by itself.
template <class Parser>
class LimitedParser {
 public:
  explicit LimitedParser(const MessageLimits& limits) : limits_(limits) {
    parser_.header_limit(static_cast<uint32_t>(limits.header_bytes));
    parser_.body_limit(limits.body_bytes);
  }
  Parser& parser() { return parser_; }

  ReadState Read(std::string* buf) {
    boost::system::error_code ec;
    const size_t consumed = Feed(&parser_, *buf, &ec);
    buf->erase(0, consumed);
    bytes_read_ += consumed;
    const ReadState state = StateOf(parser_, ec);
    if (state != ReadState::kMore) return state;
    const bool framing_too_big =
        buf->size() > limits_.header_bytes ||
        bytes_read_ > 2 * (limits_.header_bytes + limits_.body_bytes);
    if (!framing_too_big) return state;
    return parser_.is_header_done() ? ReadState::kFramingTooBig
                                    : ReadState::kHeaderTooBig;
  }

 private:
  const MessageLimits limits_;
  Parser parser_;
  size_t bytes_read_ = 0;
};

// Whether a field continues on another line (RFC 9112, 5.2). The parser joins
// the lines, others take them for fields of their own. `from`: what precedes
// has no such field.
bool HasFoldedField(std::string_view buf, size_t from) {
  const std::string_view rest = buf.substr(from);
  const std::string_view headers = rest.substr(0, rest.find("\r\n\r\n"));
  return headers.find("\r\n ") != std::string_view::npos ||
         headers.find("\r\n\t") != std::string_view::npos;
}

// Whether the body ends by one length, by `chunked` alone or with the
// connection (RFC 9112, 6.3).
template <class Message>
bool IsFramingKnown(const Message& message) {
  const size_t lengths = message.count(http::field::content_length);
  const size_t codings = message.count(http::field::transfer_encoding);
  if (lengths + codings == 0) return true;
  if (lengths + codings > 1) return false;
  if (codings == 0) {
    return ParseInteger(ToString(message[http::field::content_length]))
        .has_value();
  }
  return EqualsIgnoreCase(ToString(message[http::field::transfer_encoding]),
                          "chunked");
}

template <class Message>
std::vector<Header> HeadersOf(const Message& message) {
  std::vector<Header> headers;
  headers.reserve(8);
  for (const auto& it : message) {
    headers.push_back({ToString(it.name_string()), ToString(it.value())});
  }
  return headers;
}

void AppendHeader(std::string* text, std::string_view name,
                  std::string_view value) {
  text->append(name).append(": ").append(value).append("\r\n");
}

bool UsuallyHasBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  for (const auto& it : headers) {
    if (EqualsIgnoreCase(it.name, name)) return it.value;
  }
  return {};
}

std::vector<std::string_view> SplitList(std::string_view list) {
  std::vector<std::string_view> items;
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (item.starts_with(' ') || item.starts_with('\t')) {
      item.remove_prefix(1);
    }
    while (item.ends_with(' ') || item.ends_with('\t')) item.remove_suffix(1);
    items.push_back(item);
    if (comma == std::string_view::npos) break;
    list.remove_prefix(comma + 1);
  }
  return items;
}

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t n = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, n);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return n;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](auto it) { return EqualsIgnoreCase(it, name); });
}

std::vector<Header> EndToEndHeaders(
    const std::vector<Header>& headers,
    const std::vector<std::string_view>& required) {
  std::vector<std::string_view> named;
  for (const auto& it : headers) {
    if (!EqualsIgnoreCase(it.name, "Connection")) continue;
    const auto tokens = SplitList(it.value);
    named.insert(named.end(), tokens.begin(), tokens.end());
  }
  std::erase_if(named, [&](auto token) {
    return std::any_of(required.begin(), required.end(),
                       [&](auto it) { return EqualsIgnoreCase(it, token); });
  });
  std::vector<Header> kept;
  kept.reserve(headers.size() + 2);
  for (const auto& it : headers) {
    if (IsHopByHop(it.name)) continue;
    if (std::any_of(named.begin(), named.end(), [&](auto token) {
          return EqualsIgnoreCase(token, it.name);
        })) {
      continue;
    }
    kept.push_back(it);
  }
  return kept;
}

std::vector<Header> CallerHeaders(const std::vector<Header>& headers) {
  std::vector<Header> kept = EndToEndHeaders(headers);
  for (const auto name : kSingleValued) {
    bool found = false;
    std::erase_if(kept, [&](const Header& it) {
      return EqualsIgnoreCase(it.name, name) && std::exchange(found, true);
    });
  }
  return kept;
}

struct RequestReader::Impl
    : LimitedParser<http::request_parser<http::string_body>> {
  using LimitedParser::LimitedParser;
  bool started = false;
};

RequestReader::RequestReader(const MessageLimits& limits)
    : impl_(std::make_unique<Impl>(limits)) {}

RequestReader::~RequestReader() = default;

ReadState RequestReader::Read(std::string* buf) {
  if (!buf->empty()) impl_->started = true;
  return impl_->Read(buf);
}

bool RequestReader::started() const { return impl_->started; }

size_t RequestReader::body_capacity() const {
  const auto& body = impl_->parser().get().body();
  return body.capacity() > std::string().capacity() ? body.capacity() : 0;
}

bool RequestReader::ExpectsContinue() const {
  const auto& parser = impl_->parser();
  if (!parser.is_header_done() || parser.is_done()) return false;
  const auto value = parser.get()[http::field::expect];
  return EqualsIgnoreCase({value.data(), value.size()}, "100-continue");
}

HttpRequest RequestReader::Take() {
  auto& message = impl_->parser().get();
  HttpRequest request;
  request.method = ToString(message.method_string());
  request.target = ToString(message.target());
  request.headers = HeadersOf(message);
  request.body = std::move(message.body());
  request.keep_alive = message.keep_alive();
  return request;
}

struct ReplyReader::Impl
    : LimitedParser<http::response_parser<http::string_body>> {
  using LimitedParser::LimitedParser;
  bool is_framing_checked = false;
  // Length of the headers' unparsed part that has no folded field.
  size_t unfolded_bytes = 0;
};

ReplyReader::ReplyReader(bool is_head, const MessageLimits& limits)
    : impl_(std::make_unique<Impl>(limits)) {
  impl_->parser().skip(is_head);
}

ReplyReader::~ReplyReader() = default;

ReadState ReplyReader::Read(std::string* buf) {
  constexpr size_t kOverlap = std::string_view("\r\n\r\n").size() - 1;
  const size_t from =
      impl_->unfolded_bytes < kOverlap ? 0 : impl_->unfolded_bytes - kOverlap;
  const bool is_folded =
      !impl_->parser().is_header_done() && HasFoldedField(*buf, from);
  const ReadState state = impl_->Read(buf);
  impl_->unfolded_bytes = buf->size();
  if (is_folded) return ReadState::kUnknownFraming;
  if (impl_->is_framing_checked || !impl_->parser().is_header_done()) {
    return state;
  }
  impl_->is_framing_checked = true;
  return IsFramingKnown(impl_->parser().get()) ? state
                                               : ReadState::kUnknownFraming;
}

ReadState ReplyReader::ReadEnd() {
  boost::system::error_code ec;
  auto& parser = impl_->parser();
  if (!parser.got_some()) return ReadState::kMalformed;
  parser.put_eof(ec);
  return ec || !parser.is_done() ? ReadState::kMalformed : ReadState::kDone;
}

HttpReply ReplyReader::Take() {
  auto& message = impl_->parser().get();
  HttpReply reply;
  reply.status = static_cast<int>(message.result_int());
  reply.headers = HeadersOf(message);
  reply.until_close = message.need_eof();
  reply.keep_alive = message.keep_alive();
  reply.body = std::move(message.body());
  return reply;
}

std::string ToText(const HttpRequest& request) {
  std::string text;
  text.reserve(512 + request.body.size());
  text.append(request.method).append(" ").append(request.target);
  text.append(" HTTP/1.1\r\n");
  for (const auto& it : request.headers) AppendHeader(&text, it.name, it.value);
  if (!request.body.empty() || UsuallyHasBody(request.method)) {
    AppendHeader(&text, "Content-Length", std::to_string(request.body.size()));
  }
  text.append("\r\n").append(request.body);
  return text;
}

std::string ToText(const HttpReply& reply, bool closes, bool is_head) {
  std::string text;
  text.reserve(512 + reply.body.size());
  text.append("HTTP/1.1 ").append(std::to_string(reply.status)).append(" ");
  text.append(ReasonPhrase(reply.status)).append("\r\n");
  for (const auto& it : reply.headers) AppendHeader(&text, it.name, it.value);
  const bool bodiless = reply.status == 204 || reply.status == 304;
  if (!bodiless) {
    AppendHeader(&text, "Content-Length", std::to_string(reply.body.size()));
  }
  if (closes) AppendHeader(&text, "Connection", "close");
  text.append("\r\n");
  if (!bodiless && !is_head) text.append(reply.body);
  return text;
}

std::string_view ReasonPhrase(int status) {
  const auto phrase =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

}  // namespace hibiscuspick::edge
