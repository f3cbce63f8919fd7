// The operators' API apart from HTTP: requests in, replies out. docs/
// OPERATORS.md describes it for its users.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/platform/calls.h"
#include "hibiscuspick/settings/config_store.h"
#include "hibiscuspick/settings/configuration.h"

namespace hibiscuspick::operators {

struct Request {
  std::string method;
  // Decoded, without the query.
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string authorization;
  std::string if_match;
  std::string if_none_match;
  // The operator's own id for a write, so that it can be sent again after a
  // broken connection; may be empty.
  std::string write_id;
  std::string body;
};

struct Reply {
  int status = 200;
  // Null if `text` is the answer.
  Json body;
  std::string text;
};

// What the API needs of the daemon. Each function may be called from any
// thread at any time.
struct Ports {
  std::string token;
  // Where this instance stands, for effective values.
  DataCentreId data_centre;
  platform::Calls calls;
  // The view in force. While it is nullptr or not `known`, all that reads or
  // writes objects is answered 503 not_ready: an instance that knows nothing
  // can't say that something isn't there.
  std::function<std::shared_ptr<const settings::Configuration>()> configuration;
  // An accepted write, to be applied and pushed to other instances at once.
  std::function<void(const settings::ConfigObject&)> on_accepted;
  // Tells other instances that a backend server is to get no new work, or may
  // again, without waiting for the platform.
  std::function<void(const BackendServerId&, bool draining)> announce_drain;
  std::function<Json()> status;
  std::function<std::string()> metrics;
  // A new id, never given before by any instance.
  std::function<std::string()> make_write_id;
  // Waits a little between two tries at the platform.
  std::function<void()> pause;
};

// 128 random bits in hexadecimal.
std::string MakeWriteId();

// Sleeps 50 to 150 ms.
void PauseBetweenTries();

// Answers one request. Blocks for as long as the platform's calls do. Safe
// from any thread.
Reply Handle(const Ports& ports, const Request& request);

}  // namespace hibiscuspick::operators
