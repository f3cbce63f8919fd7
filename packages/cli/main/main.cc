// hibiscuspick: the operators' and load tool.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "hibiscuspick/cli/command.h"
#include "hibiscuspick/cli/load_run.h"

namespace {

using hibiscuspick::Code;
using hibiscuspick::DumpJson;
using hibiscuspick::Error;
using hibiscuspick::ErrorOf;
using hibiscuspick::IsOk;
using hibiscuspick::Result;
using hibiscuspick::ValueOf;
using hibiscuspick::cli::DaemonCall;
using hibiscuspick::cli::ExitCode;
using hibiscuspick::cli::LoadPlan;

std::optional<std::string> ReadVariable(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) return std::nullopt;
  return value;
}

std::string ReadAll(std::istream& in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

Result<std::string> ReadFile(const std::string& path) {
  if (path == "-") return ReadAll(std::cin);
  std::ifstream in(path, std::ios::binary);
  if (!in) return Error{Code::kNotFound, path, "can't be read"};
  return ReadAll(in);
}

ExitCode Run(const DaemonCall& call) {
  const auto report = ReportOf(call, SendCall(call));
  std::fputs(report.output.c_str(), stdout);
  if (!report.message.empty()) {
    std::fprintf(stderr, "hibiscuspick: %s\n", report.message.c_str());
  }
  return report.exit;
}

ExitCode Run(LoadPlan plan) {
  // A line that is written over only helps where somebody watches.
  plan.progress = plan.progress && isatty(STDERR_FILENO) != 0;
  std::signal(SIGINT, [](int) { hibiscuspick::cli::StopLoad(); });
  const auto report = RunLoad(plan);
  const std::string text =
      plan.json ? DumpJson(ReportJson(report)) + "\n" : ReportTable(report);
  std::fputs(text.c_str(), stdout);
  if (report.total.wrong > 0) return ExitCode::kRefused;
  const bool answered = report.total.whole + report.total.partial > 0;
  return answered ? ExitCode::kDone : ExitCode::kUnreachable;
}

ExitCode Run(const hibiscuspick::cli::HelpShown&) { return ExitCode::kDone; }

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (!args.empty() && (args[0] == "--help" || args[0] == "-h")) {
    std::fputs(hibiscuspick::cli::Usage().c_str(), stdout);
    return 0;
  }
  const auto command =
      hibiscuspick::cli::ReadCommand(args, {ReadVariable, ReadFile});
  if (!IsOk(command)) {
    std::fprintf(stderr, "hibiscuspick: %s\n",
                 ErrorOf(command).message.c_str());
    return static_cast<int>(ExitCode::kBadArguments);
  }
  const ExitCode exit =
      std::visit([](const auto& it) { return Run(it); }, ValueOf(command));
  return static_cast<int>(exit);
}
