// hibiscuspick-standins: the platform and the backend servers that tests and
// demos talk to, as one program with two subcommands.
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/standins/backend_fleet.h"
#include "hibiscuspick/standins/platform_standin.h"

namespace {

using hibiscuspick::Address;
using hibiscuspick::Done;
using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Json;
using hibiscuspick::ParseAddress;
using hibiscuspick::ParseJson;
using hibiscuspick::Result;
using hibiscuspick::ValueOf;
using hibiscuspick::standins::BackendFleet;
using hibiscuspick::standins::FleetOptions;
using hibiscuspick::standins::PatchSettings;
using hibiscuspick::standins::PlatformStandin;

constexpr int kExitBadArguments = 2;
constexpr int kExitCannotListen = 3;
constexpr char kVersion[] = "0.1.0";

using TextArg = TCLAP::ValueArg<std::string>;
using NumberArg = TCLAP::ValueArg<unsigned>;

// Blocks the signals that end the program, in this thread and all started
// later, so that one thread can wait for them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForSignal(const sigset_t& signals) {
  int number = 0;
  sigwait(&signals, &number);
}

int Fail(int code, const std::string& message) {
  std::fprintf(stderr, "hibiscuspick-standins: %s\n", message.c_str());
  return code;
}

int RunPlatform(std::vector<std::string>& args) {
  TCLAP::CmdLine line("Stands in for the platform's object API.", ' ',
                      kVersion);
  TextArg listen("l", "listen", "Where to listen.", false, "127.0.0.1:9000",
                 "IP:port", line);
  line.parse(args);
  const auto address = ParseAddress(listen.getValue());
  if (!IsOk(address)) {
    return Fail(kExitBadArguments, "--listen: " + ErrorOf(address).message);
  }
  const sigset_t signals = BlockSignals();
  PlatformStandin platform;
  const auto& [ip, port] = ValueOf(address);
  if (!IsOk(platform.Start(ip, port))) {
    return Fail(kExitCannotListen, "can't listen on " + listen.getValue());
  }
  std::printf("platform on %s\n", listen.getValue().c_str());
  std::fflush(stdout);
  WaitForSignal(signals);
  return 0;
}

int RunBackends(std::vector<std::string>& args) {
  TCLAP::CmdLine line(
      "Stands in for many backend servers: server i listens on the base port "
      "+ i.",
      ' ', kVersion);
  FleetOptions options;
  TextArg listen("l", "listen", "The first server's address.", false,
                 "127.0.0.1:9101", "IP:port", line);
  NumberArg count("n", "count", "How many servers.", false, 1, "number", line);
  NumberArg control("c", "control", "The control server's port.", false, 9100,
                    "port", line);
  TextArg prefix("p", "id-prefix", "The servers' ids: prefix and number.",
                 false, options.id_prefix, "text", line);
  NumberArg first("f", "first-id", "The first server's number.", false, 1,
                  "number", line);
  NumberArg seed("s", "seed", "Fixes service times and chances.", false, 1,
                 "number", line);
  TextArg settings("j", "settings",
                   "What all servers are like, as a JSON object with the keys "
                   "of docs/STANDINS.md.",
                   false, "{}", "JSON", line);
  line.parse(args);
  const auto address = ParseAddress(listen.getValue());
  if (!IsOk(address)) {
    return Fail(kExitBadArguments, "--listen: " + ErrorOf(address).message);
  }
  const auto patch = ParseJson(settings.getValue());
  if (!IsOk(patch)) {
    return Fail(kExitBadArguments, "--settings: " + ErrorOf(patch).message);
  }
  const auto patched = PatchSettings(&options.settings, ValueOf(patch));
  if (!IsOk(patched)) {
    return Fail(kExitBadArguments, "--settings: " + ErrorOf(patched).place +
                                       ": " + ErrorOf(patched).message);
  }
  options.ip = ValueOf(address).ip;
  options.base_port = ValueOf(address).port;
  options.count = count.getValue();
  options.control_port = static_cast<uint16_t>(control.getValue());
  options.id_prefix = prefix.getValue();
  options.first_id = first.getValue();
  options.seed = seed.getValue();
  const sigset_t signals = BlockSignals();
  BackendFleet fleet(options);
  const auto started = fleet.Start();
  if (!IsOk(started)) {
    return Fail(kExitCannotListen,
                ErrorOf(started).place + ": " + ErrorOf(started).message);
  }
  std::printf("%u backend servers from %s, control on port %u\n",
              count.getValue(), listen.getValue().c_str(), control.getValue());
  std::fflush(stdout);
  WaitForSignal(signals);
  return 0;
}

int Run(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  std::vector<std::string> args = {std::string(argv[0]) + " " + name};
  for (int i = 2; i < argc; ++i) args.emplace_back(argv[i]);
  if (name == "platform") return RunPlatform(args);
  if (name == "backends") return RunBackends(args);
  std::fprintf(stderr,
               "usage: hibiscuspick-standins platform|backends [--help]\n");
  return kExitBadArguments;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc, argv); }
