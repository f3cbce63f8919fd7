#include "hibiscuspick/operators/api.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <random>
#include <string_view>
#include <thread>

#include "hibiscuspick/operators/bearer_token.h"
#include "hibiscuspick/settings/envelope.h"
#include "hibiscuspick/settings/json_reader.h"
#include "hibiscuspick/settings/object_name.h"
#include "reply.h"
#include "write.h"
#include "write_status.h"

namespace hibiscuspick::operators {
namespace {

using settings::Configuration;
using settings::ObjectKind;
using settings::ObjectName;

constexpr std::string_view kRoot = "/v1/";
constexpr std::string_view kWrites = "/v1/writes/";

constexpr std::array kAllKinds = {ObjectKind::kService, ObjectKind::kRoute,
                                  ObjectKind::kSnapshot, ObjectKind::kSettings,
                                  ObjectKind::kDrain};

Reply NotFoundReply() { return ErrorReply(kStatusNotFound, Code::kNotFound); }

// The kind of objects that a path such as /v1/services lists.
std::optional<ObjectKind> ListedKind(std::string_view path) {
  for (const ObjectKind it : kAllKinds) {
    if (path == std::string(kRoot) + std::string(KindFolder(it))) return it;
  }
  return std::nullopt;
}

// A name from the query string, or else from the path's own node.
std::string ScopeName(const Request& request, const std::string& key,
                      const settings::TreePath& node, settings::Level level) {
  const auto it = request.parameters.find(key);
  if (it != request.parameters.end()) return it->second;
  return node.level == level ? node.name : "";
}

Reply EffectiveReply(const Ports& ports, const Configuration& configuration,
                     const Request& request, const ObjectName& name) {
  using settings::Level;
  const auto node = *settings::ParseTreePath(name.rest);
  settings::Scope scope;
  scope.data_centre =
      DataCentreId(ScopeName(request, "data_centre", node, Level::kDataCentre));
  if (scope.data_centre.empty()) scope.data_centre = ports.data_centre;
  scope.customer =
      CustomerId(ScopeName(request, "customer", node, Level::kCustomer));
  scope.service =
      ServiceId(ScopeName(request, "service", node, Level::kService));
  scope.route = RouteId(ScopeName(request, "route", node, Level::kRoute));
  return {kStatusOk,
          {{"effective", EffectiveJson(configuration.settings, scope)},
           {"complete_to", configuration.complete_to.value}},
          ""};
}

Reply ObjectReply(const Configuration& configuration, const ObjectName& name) {
  const auto it = configuration.objects.find(ToText(name));
  if (it == configuration.objects.end()) return NotFoundReply();
  const auto envelope = settings::ReadEnvelopeText(it->second.text);
  if (!IsOk(envelope) || ValueOf(envelope).deleted) return NotFoundReply();
  return {kStatusOk,
          {{"version", it->second.version.value},
           {"value", ValueOf(envelope).value}},
          ""};
}

// Names and versions of all objects that exist.
Reply ListReply(const Configuration& configuration, ObjectKind kind) {
  const std::string prefix = std::string(KindFolder(kind)) + "/";
  Json list = Json::array();
  for (const auto& [path, object] : configuration.objects) {
    if (!path.starts_with(prefix)) continue;
    const auto envelope = settings::ReadEnvelopeText(object.text);
    if (IsOk(envelope) && ValueOf(envelope).deleted) continue;
    list.push_back({{"name", path.substr(prefix.size())},
                    {"version", object.version.value}});
  }
  return {kStatusOk,
          {{"objects", std::move(list)},
           {"complete_to", configuration.complete_to.value}},
          ""};
}

bool WantsEffective(const Request& request) {
  const auto it = request.parameters.find("effective");
  return it != request.parameters.end() && it->second == "true";
}

Reply HandleGet(const Ports& ports, const Request& request,
                const ObjectName& name) {
  const auto configuration = ports.configuration();
  if (!IsLoaded(configuration.get())) return NotReadyReply();
  if (name.kind == ObjectKind::kSettings && WantsEffective(request)) {
    return EffectiveReply(ports, *configuration, request, name);
  }
  return ObjectReply(*configuration, name);
}

Reply HandleList(const Ports& ports, ObjectKind kind) {
  const auto configuration = ports.configuration();
  if (!IsLoaded(configuration.get())) return NotReadyReply();
  return ListReply(*configuration, kind);
}

Reply HandleObject(const Ports& ports, const Request& request,
                   const ObjectName& name) {
  if (request.method == "GET") return HandleGet(ports, request, name);
  if (request.method == "PUT") return HandlePut(ports, request, name);
  if (request.method == "DELETE") return HandleDelete(ports, request, name);
  return ErrorReply(kStatusMethodNotAllowed, Code::kMalformedRequest,
                    "this method is not supported for this path");
}

// Handles paths that can only be read.
std::optional<Reply> HandleReadOnly(const Ports& ports,
                                    const Request& request) {
  const std::string& path = request.path;
  if (path == "/v1/status") return Reply{kStatusOk, ports.status(), ""};
  if (path == "/metrics") return Reply{kStatusOk, Json(), ports.metrics()};
  if (const auto kind = ListedKind(path)) return HandleList(ports, *kind);
  if (!path.starts_with(kWrites)) return std::nullopt;
  const auto name = settings::ParseObjectName(path.substr(kWrites.size()));
  if (!name) return NotFoundReply();
  return HandleWriteStatus(ports, request, *name);
}

}  // namespace

std::string MakeWriteId() {
  constexpr int kWords = 4;
  std::random_device device;
  std::string text;
  for (int i = 0; i < kWords; ++i) {
    char buf[9];
    std::snprintf(buf, sizeof(buf), "%08x", device());
    text += buf;
  }
  return text;
}

void SleepBetweenAttempts() {
  constexpr unsigned kMinMillis = 50;
  constexpr unsigned kRangeMillis = 100;
  std::random_device device;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(kMinMillis + device() % kRangeMillis));
}

Reply Handle(const Ports& ports, const Request& request) {
  if (!IsAuthorized(request.authorization, ports.token)) {
    return ErrorReply(kStatusUnauthorized, Code::kUnauthorized);
  }
  if (request.method == "GET") {
    if (auto reply = HandleReadOnly(ports, request)) return *reply;
  }
  if (!request.path.starts_with(kRoot)) return NotFoundReply();
  const auto name =
      settings::ParseObjectName(request.path.substr(kRoot.size()));
  if (!name) return NotFoundReply();
  return HandleObject(ports, request, *name);
}

}  // namespace hibiscuspick::operators
