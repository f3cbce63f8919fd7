#include "arguments.h"

#include <utility>

namespace hibiscuspick::cli {

CallLine::CallLine(const std::string& about, const char* default_target)
    : line(about, ' ', kProgramVersion),
      target("t", "target", "The daemon's address.", false, default_target,
             "IP:port", line),
      timeout_ms("", "timeout-ms", "Wait so long for the reply.", false, 30000,
                 "ms", line),
      compact("c", "compact", "Print the reply on one line.", line) {
  line.setExceptionHandling(false);
}

void CallLine::Parse(const std::vector<std::string>& args) {
  std::vector<std::string> copy = args;
  copy.front() = "hibiscuspick " + copy.front();
  line.parse(copy);
}

Result<DaemonCall> CallLine::MakeCall() const {
  const auto address = ParseAddress(target.getValue());
  if (!IsOk(address)) {
    return BadArguments("--target " + target.getValue() + " is " +
                        ErrorOf(address).message);
  }
  DaemonCall call;
  call.target = ValueOf(address);
  call.timeout = Millis(static_cast<double>(timeout_ms.getValue()));
  call.compact = compact.getValue();
  return call;
}

OperatorLine::OperatorLine(const std::string& about,
                           const Surroundings& outside)
    : CallLine(about, kOperatorsTarget),
      surroundings(outside),
      token("", "token",
            "The operators' token; else the environment variable "
            "HIBISCUSPICK_TOKEN, which other users can't see in the list of "
            "processes.",
            false, "", "text", line) {}

Result<DaemonCall> OperatorLine::MakeOperatorCall(
    const std::string& method, const std::string& path) const {
  auto call = MakeCall();
  if (!IsOk(call)) return call;
  std::string value = token.getValue();
  if (value.empty()) {
    value = surroundings.variable("HIBISCUSPICK_TOKEN").value_or("");
  }
  if (value.empty()) {
    return BadArguments(
        "no operators' token: set HIBISCUSPICK_TOKEN or give --token");
  }
  ValueOf(call).method = method;
  ValueOf(call).path = path;
  ValueOf(call).headers.emplace("Authorization", "Bearer " + value);
  return call;
}

Error BadArguments(const std::string& message) {
  return {Code::kMalformedRequest, "", message};
}

Result<Json> ReadJsonFile(const Surroundings& surroundings,
                          const std::string& path) {
  const auto text = surroundings.read_file(path);
  if (!IsOk(text)) return BadArguments(path + " can't be read");
  auto value = ParseJson(ValueOf(text), JsonComments::kAllowed);
  if (!IsOk(value)) return BadArguments(path + ": " + ErrorOf(value).message);
  return value;
}

Result<Json> ReadJsonText(const std::string& argument,
                          const std::string& text) {
  auto value = ParseJson(text);
  if (!IsOk(value)) {
    return BadArguments(argument + ": " + ErrorOf(value).message);
  }
  return value;
}

}  // namespace hibiscuspick::cli
