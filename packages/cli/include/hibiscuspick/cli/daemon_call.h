// One HTTP call to a daemon, and what its reply means to the person who made
// it.
#pragma once

#include <string>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/cli/exit_code.h"
#include "hibiscuspick/http/connection.h"

namespace hibiscuspick::cli {

struct DaemonCall {
  Address target;
  std::string method;
  std::string path;
  httplib::Headers headers;
  std::string body;
  Millis timeout{30000};
  // Whether a call that breaks off may have changed something.
  bool has_effect = false;
  // Print the reply on one line.
  bool compact = false;
};

// What goes to standard output and standard error, and the exit code.
struct Report {
  ExitCode exit = ExitCode::kDone;
  std::string output;
  std::string message;
};

// Sends the call once.
Result<http::Reply> SendCall(const DaemonCall& call);

Report ReportOf(const DaemonCall& call, const Result<http::Reply>& reply);

// A path or parameter with all but letters, digits and "-._~/" as %XX.
std::string EncodePath(const std::string& text);

}  // namespace hibiscuspick::cli
