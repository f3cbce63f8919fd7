#include "hibiscuspick/operators/server.h"

#include <string>
#include <utility>

#include "reply.h"

namespace hibiscuspick::operators {
namespace {

constexpr char kAnyPath[] = ".*";
constexpr char kJsonType[] = "application/json";
constexpr char kMetricsType[] = "text/plain; version=0.0.4";

Request ReadRequest(const httplib::Request& request) {
  Request out;
  out.method = request.method;
  out.path = request.path;
  for (const auto& [key, value] : request.params) out.parameters[key] = value;
  out.authorization = request.get_header_value("Authorization");
  out.if_match = request.get_header_value("If-Match");
  out.if_none_match = request.get_header_value("If-None-Match");
  out.write_id = request.get_header_value("X-Write-Id");
  out.body = request.body;
  return out;
}

void WriteReply(const Reply& reply, httplib::Response* response) {
  response->status = reply.status;
  if (reply.body.is_null()) {
    response->set_content(reply.text, kMetricsType);
    return;
  }
  if (reply.status == kStatusUnauthorized) {
    response->set_header("WWW-Authenticate", "Bearer");
  }
  response->set_content(DumpJson(reply.body), kJsonType);
}

// The HTTP library's own rejections (a body over the limit, an invalid header)
// get the same kind of body as all other errors.
void AddErrorBody(httplib::Response* response) {
  if (!response->body.empty()) return;
  const int status = response->status;
  const Code code = status == kStatusTooLarge ? Code::kRequestTooLarge
                                              : Code::kMalformedRequest;
  WriteReply(ErrorReply(status, code), response);
}

}  // namespace

void AddRoutes(http::Server* server, std::shared_ptr<const Ports> ports) {
  const auto handler = [ports = std::move(ports)](
                           const httplib::Request& request,
                           httplib::Response& response) {
    WriteReply(Handle(*ports, ReadRequest(request)), &response);
  };
  server->Get(kAnyPath, handler);
  server->Put(kAnyPath, handler);
  server->Post(kAnyPath, handler);
  server->Patch(kAnyPath, handler);
  server->Delete(kAnyPath, handler);
  server->set_error_handler(
      [](const httplib::Request&, httplib::Response& response) {
        AddErrorBody(&response);
      });
}

}  // namespace hibiscuspick::operators
