#include "hibiscuspick/edge/quarantine_wire.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hibiscuspick::edge {
namespace {

// First line; a message of another format is not understood.
constexpr std::string_view kFormat = "quarantine 1";
constexpr std::string_view kWantsAll = "all";
constexpr std::string_view kPassOn = "pass on";
// Ends that were seen without another request at the server.
constexpr std::string_view kAlone = "!";

std::string_view TakeUntil(std::string_view* text, char end) {
  const size_t at = text->find(end);
  const auto taken = text->substr(0, at);
  text->remove_prefix(at == std::string_view::npos ? text->size() : at + 1);
  return taken;
}

template <class T>
bool ParseNumber(std::string_view text, int base, T* n) {
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, *n, base);
  return !text.empty() && read.ec == std::errc() && read.ptr == end;
}

std::optional<engine::ServerEnd> ParseEnd(std::string_view text) {
  constexpr int kHex = 16;
  engine::ServerEnd end;
  end.alone = text.ends_with(kAlone);
  if (end.alone) text.remove_suffix(kAlone.size());
  const auto server = TakeUntil(&text, ':');
  if (!ParseNumber(server, kHex, &end.server) ||
      !ParseNumber(text, kHex, &end.service)) {
    return std::nullopt;
  }
  return end;
}

}  // namespace

// Fields: fingerprint, whether cleared, served before, and whether a repeat
// ended a server; repeats alone, survivors, how often quarantined, milliseconds
// left; then each ended server and its service.
std::string FormatReport(const engine::QuarantineReport& report) {
  std::string line =
      fmt::format("{} {} {} {} {} {} {} {}", engine::ToText(report.request),
                  report.cleared ? 1 : 0, report.was_served ? 1 : 0,
                  report.repeat_ended ? 1 : 0, report.repeats_alone,
                  report.survivors, report.quarantines,
                  static_cast<int64_t>(std::ceil(report.refused_for.count)));
  const size_t n = std::min(report.ends.size(), kMaxEndsSent);
  for (size_t i = 0; i < n; ++i) {
    const auto& it = report.ends[i];
    line += fmt::format(" {:x}:{:x}{}", it.server, it.service,
                        it.alone ? kAlone : "");
  }
  return line;
}

std::optional<engine::QuarantineReport> ParseReport(std::string_view line) {
  constexpr int kDecimal = 10;
  // A faulty peer must not block a request for longer than the engine does.
  constexpr int kMaxQuarantines = 100;
  engine::QuarantineReport report;
  const auto request = engine::ParseFingerprint(TakeUntil(&line, ' '));
  int cleared = 0;
  int was_served = 0;
  int repeat_ended = 0;
  int64_t refused_for = 0;
  if (!request || !ParseNumber(TakeUntil(&line, ' '), kDecimal, &cleared) ||
      !ParseNumber(TakeUntil(&line, ' '), kDecimal, &was_served) ||
      !ParseNumber(TakeUntil(&line, ' '), kDecimal, &repeat_ended) ||
      !ParseNumber(TakeUntil(&line, ' '), kDecimal, &report.repeats_alone) ||
      !ParseNumber(TakeUntil(&line, ' '), kDecimal, &report.survivors) ||
      !ParseNumber(TakeUntil(&line, ' '), kDecimal, &report.quarantines) ||
      !ParseNumber(TakeUntil(&line, ' '), kDecimal, &refused_for) ||
      refused_for < 0 || report.quarantines < 0 ||
      report.quarantines > kMaxQuarantines) {
    return std::nullopt;
  }
  report.request = *request;
  report.cleared = cleared != 0;
  report.was_served = was_served != 0;
  report.repeat_ended = repeat_ended != 0;
  report.refused_for = Millis(static_cast<double>(refused_for));
  while (!line.empty()) {
    const auto end = ParseEnd(TakeUntil(&line, ' '));
    if (!end || report.ends.size() >= kMaxEndsSent) return std::nullopt;
    report.ends.push_back(*end);
  }
  return report;
}

std::string FormatQuarantine(const QuarantineMessage& message) {
  std::string text(kFormat);
  text += '\n';
  const auto add = [&](std::string_view line) {
    text += line;
    text += '\n';
  };
  if (message.wants_all) add(kWantsAll);
  if (message.pass_on) add(kPassOn);
  for (const auto& it : message.reports) add(FormatReport(it));
  return text;
}

std::optional<QuarantineMessage> ParseQuarantine(std::string_view text) {
  if (TakeUntil(&text, '\n') != kFormat) return std::nullopt;
  QuarantineMessage message;
  while (!text.empty()) {
    const auto line = TakeUntil(&text, '\n');
    if (line == kWantsAll) {
      message.wants_all = true;
    } else if (line == kPassOn) {
      message.pass_on = true;
    } else {
      auto report = ParseReport(line);
      if (!report) return std::nullopt;
      message.reports.push_back(std::move(*report));
    }
  }
  return message;
}

}  // namespace hibiscuspick::edge
