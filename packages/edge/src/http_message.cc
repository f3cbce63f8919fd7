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

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection", "Keep-Alive",     "Transfer-Encoding",
    "TE",         "Trailer",        "Upgrade",
    "Expect",     "Content-Length", "Proxy-Connection"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string ToString(boost::beast::string_view it) {
  return {it.data(), it.size()};
}

// Replies may have larger headers than requests, since backend servers are
// trusted.
constexpr size_t kReplyHeaderBytes = 65536;

template <class Parser>
ReadState ParseInto(Parser* parser, std::string* buf) {
  size_t consumed = 0;
  boost::system::error_code ec;
  while (!parser->is_done() && consumed < buf->size()) {
    const size_t n = parser->put(
        boost::asio::buffer(buf->data() + consumed, buf->size() - consumed),
        ec);
    consumed += n;
    if (ec) break;
    if (n == 0) break;
  }
  buf->erase(0, consumed);
  if (parser->is_done() && (!ec || ec == http::error::need_more)) {
    return ReadState::kDone;
  }
  if (!ec || ec == http::error::need_more) return ReadState::kMore;
  if (ec == http::error::header_limit) return ReadState::kHeaderTooBig;
  if (ec == http::error::body_limit) return ReadState::kBodyTooBig;
  return ReadState::kMalformed;
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
    while (item.starts_with(' ')) item.remove_prefix(1);
    while (item.ends_with(' ')) item.remove_suffix(1);
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

std::vector<Header> EndToEndHeaders(const std::vector<Header>& headers) {
  const auto named = SplitList(FindHeader(headers, "Connection"));
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

struct RequestReader::Impl {
  http::request_parser<http::string_body> parser;
  bool started = false;
};

RequestReader::RequestReader(size_t header_bytes, size_t body_bytes)
    : impl_(std::make_unique<Impl>()) {
  impl_->parser.eager(true);
  impl_->parser.header_limit(static_cast<uint32_t>(header_bytes));
  impl_->parser.body_limit(body_bytes);
}

RequestReader::~RequestReader() = default;

ReadState RequestReader::Read(std::string* buf) {
  if (!buf->empty()) impl_->started = true;
  return ParseInto(&impl_->parser, buf);
}

bool RequestReader::started() const { return impl_->started; }

bool RequestReader::ExpectsContinue() const {
  if (!impl_->parser.is_header_done() || impl_->parser.is_done()) return false;
  const auto value = impl_->parser.get()[http::field::expect];
  return EqualsIgnoreCase({value.data(), value.size()}, "100-continue");
}

HttpRequest RequestReader::Take() {
  auto& message = impl_->parser.get();
  HttpRequest request;
  request.method = ToString(message.method_string());
  request.target = ToString(message.target());
  request.headers = HeadersOf(message);
  request.body = std::move(message.body());
  request.keep_alive = message.keep_alive();
  return request;
}

struct ReplyReader::Impl {
  http::response_parser<http::string_body> parser;
};

ReplyReader::ReplyReader(bool is_head, size_t body_bytes)
    : impl_(std::make_unique<Impl>()) {
  impl_->parser.eager(true);
  impl_->parser.skip(is_head);
  impl_->parser.header_limit(kReplyHeaderBytes);
  impl_->parser.body_limit(body_bytes);
}

ReplyReader::~ReplyReader() = default;

ReadState ReplyReader::Read(std::string* buf) {
  return ParseInto(&impl_->parser, buf);
}

ReadState ReplyReader::ReadEnd() {
  boost::system::error_code ec;
  if (!impl_->parser.got_some()) return ReadState::kMalformed;
  impl_->parser.put_eof(ec);
  return ec || !impl_->parser.is_done() ? ReadState::kMalformed
                                        : ReadState::kDone;
}

HttpReply ReplyReader::Take() {
  auto& message = impl_->parser.get();
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
