#include "operator_commands.h"

#include <array>
#include <string_view>
#include <utility>

#include "arguments.h"

namespace hibiscuspick::cli {
namespace {

constexpr char kKindHelp[] =
    "service, route, snapshot, settings or drain (or the plural)";

struct KindRow {
  std::string_view singular;
  std::string_view folder;
};

constexpr std::array<KindRow, 5> kKinds = {{{"service", "services"},
                                            {"route", "routes"},
                                            {"snapshot", "snapshots"},
                                            {"settings", "settings"},
                                            {"drain", "drains"}}};

// The path of an object, or of the list of its kind if the name is empty.
Result<std::string> PathOf(const std::string& kind, const std::string& name) {
  for (const KindRow& it : kKinds) {
    if (kind != it.singular && kind != it.folder) continue;
    std::string path = "/v1/" + std::string(it.folder);
    if (!name.empty()) path += "/" + EncodePath(name);
    return path;
  }
  return BadArguments("unknown kind " + kind + ": " + kKindHelp);
}

// The condition of a write, and an id by which it can be sent again.
struct WriteArgs {
  explicit WriteArgs(TCLAP::CmdLine& line)
      : if_match("", "if-match", "Only if the object has this version.", false,
                 0, "version", line),
        write_id("", "write-id",
                 "A name of your own for this write. The same write sent again "
                 "with it takes effect once.",
                 false, "", "name", line) {}

  void AddTo(DaemonCall* call) const {
    call->has_effect = true;
    if (if_match.isSet()) {
      call->headers.emplace("If-Match", std::to_string(if_match.getValue()));
    }
    if (!write_id.getValue().empty()) {
      call->headers.emplace("X-Write-Id", write_id.getValue());
    }
  }

  NumberArg if_match;
  TextArg write_id;
};

Result<Command> CommandOf(Result<DaemonCall> call) {
  if (!IsOk(call)) return ErrorOf(call);
  return Command(std::move(ValueOf(call)));
}

// The call on an object named on the command line.
Result<DaemonCall> ObjectCall(const OperatorLine& line,
                              const std::string& method,
                              const std::string& kind,
                              const std::string& name) {
  const auto path = PathOf(kind, name);
  if (!IsOk(path)) return ErrorOf(path);
  return line.MakeOperatorCall(method, ValueOf(path));
}

}  // namespace

Result<Command> ReadGet(const Arguments& args, const Surroundings& it) {
  OperatorLine line("Prints an object with its version, or the list of a kind.",
                    it);
  PlainArg kind("kind", kKindHelp, true, "", "kind", line.line);
  PlainArg name("name", "the object's name or settings path", false, "", "name",
                line.line);
  line.Parse(args);
  return CommandOf(ObjectCall(line, "GET", kind.getValue(), name.getValue()));
}

Result<Command> ReadPut(const Arguments& args, const Surroundings& it) {
  OperatorLine line("Writes an object if nobody else has changed it since.",
                    it);
  WriteArgs write(line.line);
  FlagArg create("", "if-none-match", "Only if there is no such object yet.",
                 line.line);
  PlainArg kind("kind", kKindHelp, true, "", "kind", line.line);
  PlainArg name("name", "the object's name or settings path", true, "", "name",
                line.line);
  PlainArg file("file", "JSON with comments; - reads standard input", false,
                "-", "file", line.line);
  line.Parse(args);
  if (create.getValue() == write.if_match.isSet()) {
    return BadArguments(
        "put needs --if-none-match for a new object, or --if-match VERSION "
        "with the version that get printed");
  }
  auto call = ObjectCall(line, "PUT", kind.getValue(), name.getValue());
  if (!IsOk(call)) return ErrorOf(call);
  const auto value = ReadJsonFile(it, file.getValue());
  if (!IsOk(value)) return ErrorOf(value);
  write.AddTo(&ValueOf(call));
  if (create.getValue()) ValueOf(call).headers.emplace("If-None-Match", "*");
  ValueOf(call).body = DumpJson(ValueOf(value));
  return CommandOf(std::move(call));
}

Result<Command> ReadDelete(const Arguments& args, const Surroundings& it) {
  OperatorLine line("Deletes an object if nobody else has changed it since.",
                    it);
  WriteArgs write(line.line);
  PlainArg kind("kind", kKindHelp, true, "", "kind", line.line);
  PlainArg name("name", "the object's name or settings path", true, "", "name",
                line.line);
  line.Parse(args);
  if (!write.if_match.isSet()) {
    return BadArguments(
        "delete needs --if-match VERSION with the version that get printed");
  }
  auto call = ObjectCall(line, "DELETE", kind.getValue(), name.getValue());
  if (!IsOk(call)) return ErrorOf(call);
  write.AddTo(&ValueOf(call));
  return CommandOf(std::move(call));
}

Result<Command> ReadEffective(const Arguments& args, const Surroundings& it) {
  OperatorLine line(
      "Prints the settings in force at a level, each with the level it comes "
      "from.",
      it);
  // The levels a value may be inherited from, for a request of all of them.
  TextArg customer("", "customer", "Seen by this customer.", false, "", "name",
                   line.line);
  TextArg service("", "service", "Seen by this service.", false, "", "name",
                  line.line);
  TextArg route("", "route", "Seen by this route.", false, "", "name",
                line.line);
  PlainArg path("path", "such as system, customer/skjermvern, route/fraud",
                true, "", "path", line.line);
  line.Parse(args);
  auto call = ObjectCall(line, "GET", "settings", path.getValue());
  if (!IsOk(call)) return ErrorOf(call);
  std::string& target = ValueOf(call).path;
  target += "?effective=true";
  for (const TextArg* arg : {&customer, &service, &route}) {
    if (!arg->isSet()) continue;
    target += "&" + arg->getName() + "=" + EncodePath(arg->getValue());
  }
  return CommandOf(std::move(call));
}

Result<Command> ReadStatus(const Arguments& args, const Surroundings& it) {
  OperatorLine line(
      "Prints members, backend servers and the versions in force.", it);
  line.Parse(args);
  return CommandOf(line.MakeOperatorCall("GET", "/v1/status"));
}

Result<Command> ReadDrain(const Arguments& args, const Surroundings& it) {
  OperatorLine line("Gives a backend server no new work.", it);
  TextArg reason("r", "reason", "For other operators to read.", false, "",
                 "text", line.line);
  PlainArg server("server", "the backend server's id", true, "", "server",
                  line.line);
  line.Parse(args);
  auto call = ObjectCall(line, "PUT", "drain", server.getValue());
  if (!IsOk(call)) return ErrorOf(call);
  Json value = Json::object();
  if (reason.isSet()) value["reason"] = reason.getValue();
  ValueOf(call).body = DumpJson(value);
  ValueOf(call).has_effect = true;
  return CommandOf(std::move(call));
}

Result<Command> ReadUndrain(const Arguments& args, const Surroundings& it) {
  OperatorLine line("Lets a drained backend server have work again.", it);
  PlainArg server("server", "the backend server's id", true, "", "server",
                  line.line);
  line.Parse(args);
  auto call = ObjectCall(line, "DELETE", "drain", server.getValue());
  if (!IsOk(call)) return ErrorOf(call);
  ValueOf(call).has_effect = true;
  return CommandOf(std::move(call));
}

}  // namespace hibiscuspick::cli
