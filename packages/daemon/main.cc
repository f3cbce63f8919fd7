// hibiscuspickd: runs one instance of the query tier.
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

#include "hibiscuspick/adapter/edge_daemon.h"
#include "hibiscuspick/base/log.h"
#include "hibiscuspick/daemon/daemon.h"
#include "hibiscuspick/settings/daemon_settings.h"
#include "hibiscuspick/settings/edge_settings.h"

namespace {

using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Log;
using hibiscuspick::Part;
using hibiscuspick::settings::DaemonSettings;

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

std::optional<std::string> Environment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) return std::nullopt;
  return std::string(value);
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// The settings, or nullopt after printing all faults.
template <class T>
std::optional<T> ValidOrPrint(
    const std::string& path,
    const hibiscuspick::settings::Checked<T>& checked) {
  if (hibiscuspick::settings::IsValid(checked)) {
    return hibiscuspick::settings::ValidValue(checked);
  }
  for (const auto& it : hibiscuspick::settings::FaultsOf(checked)) {
    std::cerr << path << ": " << it.place << ": " << it.message << "\n";
  }
  return std::nullopt;
}

// Blocks the stop signals in all threads, so that one thread can wait for them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Serves until the first stop signal, then stops gracefully. A second signal
// aborts what is still running.
int Serve(const DaemonSettings& settings) {
  const sigset_t signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
  hibiscuspick::StartLogs(settings.log_format, settings.log_level,
                          settings.instance.text);
  hibiscuspick::daemon::Daemon daemon(settings);
  const auto started = daemon.Start();
  std::atomic<bool> abort_now{false};
  if (!IsOk(started)) {
    std::cerr << ErrorOf(started).place << ": " << ErrorOf(started).message
              << "\n";
    abort_now = true;
    daemon.Stop(abort_now);
    hibiscuspick::StopLogs();
    return kExitCannotStart;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::atomic<bool> stopped{false};
  std::thread stopper([&] {
    daemon.Stop(abort_now);
    stopped = true;
    // Wakes the wait below if no second signal has arrived.
    kill(getpid(), SIGTERM);
  });
  sigwait(&signals, &signal);
  if (!stopped) {
    Log(Part::kDaemon).warn("Second stop signal received, stopping at once.");
    abort_now = true;
  }
  stopper.join();
  hibiscuspick::StopLogs();
  return EXIT_SUCCESS;
}

int PrintValid(const std::string& path) {
  std::cout << path << ": settings are valid\n";
  return EXIT_SUCCESS;
}

int RunDaemon(const std::string& path, const std::string& text, bool check) {
  const auto settings = ValidOrPrint(
      path, hibiscuspick::settings::ReadDaemonSettings(text, Environment));
  if (!settings) return kExitBadSettings;
  return check ? PrintValid(path) : Serve(*settings);
}

int RunEdge(const std::string& path, const std::string& text, bool check) {
  const auto settings =
      ValidOrPrint(path, hibiscuspick::settings::ReadEdgeSettings(text));
  if (!settings) return kExitBadSettings;
  return check ? PrintValid(path)
               : hibiscuspick::adapter::ServeEdge(*settings, path);
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "hibiscuspickd runs one instance of the query tier. Exit codes: 0 "
      "stopped by a signal, 2 invalid settings, 3 cannot listen on an "
      "address.",
      ' ', HIBISCUSPICK_VERSION);
  TCLAP::ValueArg<std::string> settings_path(
      "s", "settings", "Settings file, JSON with comments.", true, "", "FILE",
      cmd);
  TCLAP::SwitchArg check("c", "check", "Only checks the settings file.", cmd);
  cmd.parse(argc, argv);
  const std::string& path = settings_path.getValue();
  const auto text = ReadFile(path);
  if (!text) {
    std::cerr << path << ": file could not be read\n";
    return kExitBadSettings;
  }
  return hibiscuspick::settings::IsEdgeSettings(*text)
             ? RunEdge(path, *text, check.getValue())
             : RunDaemon(path, *text, check.getValue());
}
