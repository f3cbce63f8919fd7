// The operators' API without its HTTP layer: handles requests and returns
// replies. docs/OPERATORS.md documents it for users.
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
  // Percent-decoded, without the query string.
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string authorization;
  std::string if_match;
  std::string if_none_match;
  // An id that the operator gave to a write, so that it can be repeated safely
  // after a broken connection. May be empty.
  std::string write_id;
  std::string body;
};

struct Reply {
  int status = 200;
  // Null if the reply is `text`.
  Json body;
  std::string text;
};

// The daemon's side of the API. Each function may be called from any thread at
// any time.
struct Ports {
  std::string token;
  // The data centre of this instance, the default scope of effective values.
  DataCentreId data_centre;
  platform::Calls calls;
  // The current view. While it is nullptr or not `loaded`, requests that read
  // or write objects get 503 not_ready: without a loaded configuration, the
  // absence of an object means nothing.
  std::function<std::shared_ptr<const settings::Configuration>()> configuration;
  // Called with an accepted write, to apply it and push it to other instances
  // immediately.
  std::function<void(const settings::ConfigObject&)> on_accepted;
  // Tells other instances directly, without the platform, that a backend server
  // is to get no new work, or may get work again.
  std::function<void(const BackendServerId&, bool draining)> announce_drain;
  std::function<Json()> status;
  std::function<std::string()> metrics;
  // Returns a new id that is unique among all instances.
  std::function<std::string()> make_write_id;
  // Sleeps for a short time between two attempts at the platform.
  std::function<void()> sleep_between_attempts;
};

// 128 random bits in hexadecimal.
std::string MakeWriteId();

// Sleeps for 50 to 150 ms.
void SleepBetweenAttempts();

// Handles one request. Blocks for the duration of its platform calls.
// Thread-safe.
Reply Handle(const Ports& ports, const Request& request);

}  // namespace hibiscuspick::operators
