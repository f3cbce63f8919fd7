#include "hibiscuspick/edge/evidence_wire.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <cmath>

namespace hibiscuspick::edge {
namespace {

// First line; a message of another format is not understood.
constexpr std::string_view kFormat = "evidence 1";
constexpr std::string_view kWantsAll = "all";
constexpr std::string_view kOriginPrefix = "o ";
// Latency is sent in tenths of the usual one.
constexpr double kLatencyUnits = 10;
constexpr int kHex = 16;
constexpr int kDecimal = 10;

std::string_view TakeUntil(std::string_view* text, char end) {
  const size_t at = text->find(end);
  const auto taken = text->substr(0, at);
  text->remove_prefix(at == std::string_view::npos ? text->size() : at + 1);
  return taken;
}

template <class T>
bool TakeNumber(std::string_view* text, int base, T* n) {
  const auto field = TakeUntil(text, ' ');
  const char* end = field.data() + field.size();
  const auto read = std::from_chars(field.data(), end, *n, base);
  return !field.empty() && read.ec == std::errc() && read.ptr == end;
}

struct OriginLine {
  engine::EvidenceOrigin origin;
  int64_t clock_ms = 0;
};

int64_t SliceAt(int64_t clock_ms) {
  return clock_ms / static_cast<int64_t>(engine::kEvidenceSlice.count);
}

bool ParseOrigin(std::string_view line, OriginLine* out) {
  line.remove_prefix(kOriginPrefix.size());
  if (!TakeNumber(&line, kHex, &out->origin.incarnation) ||
      !TakeNumber(&line, kDecimal, &out->clock_ms) || out->clock_ms < 0 ||
      line.empty()) {
    return false;
  }
  out->origin.sender = InstanceId(std::string(line));
  return true;
}

std::optional<engine::EvidenceReport> ParseReport(std::string_view line,
                                                  const OriginLine& origin) {
  engine::EvidenceReport it;
  it.origin = origin.origin;
  int64_t slices_ago = 0;
  uint32_t latency = 0;
  auto& counts = it.counts;
  if (!TakeNumber(&line, kHex, &it.server) ||
      !TakeNumber(&line, kDecimal, &slices_ago) ||
      !TakeNumber(&line, kDecimal, &counts.answered) ||
      !TakeNumber(&line, kDecimal, &counts.lost) ||
      !TakeNumber(&line, kDecimal, &counts.refused) ||
      !TakeNumber(&line, kDecimal, &counts.overdue) ||
      !TakeNumber(&line, kDecimal, &latency) || !line.empty() ||
      slices_ago < 0 || slices_ago > SliceAt(origin.clock_ms)) {
    return std::nullopt;
  }
  it.slice = SliceAt(origin.clock_ms) - slices_ago;
  it.age = Max(Millis(static_cast<double>(origin.clock_ms)) -
                   engine::kEvidenceSlice * static_cast<double>(it.slice + 1),
               Millis(0));
  counts.latency_sum = latency / kLatencyUnits;
  return it;
}

}  // namespace

std::string FormatEvidence(const EvidenceMessage& message,
                           const engine::EvidenceOrigin& own, Millis now) {
  std::string text = fmt::format("{}\n", kFormat);
  if (message.wants_all) text += fmt::format("{}\n", kWantsAll);
  std::optional<OriginLine> line;
  for (const auto& it : message.reports) {
    if (!line || line->origin != it.origin) {
      const Millis end =
          engine::kEvidenceSlice * static_cast<double>(it.slice + 1);
      const Millis clock = it.origin == own ? now : end + it.age;
      line = {it.origin, static_cast<int64_t>(clock.count)};
      text +=
          fmt::format("{}{:x} {} {}\n", kOriginPrefix, line->origin.incarnation,
                      line->clock_ms, line->origin.sender.text);
    }
    text += fmt::format("{:x} {} {} {} {} {} {}\n", it.server,
                        SliceAt(line->clock_ms) - it.slice, it.counts.answered,
                        it.counts.lost, it.counts.refused, it.counts.overdue,
                        std::lround(it.counts.latency_sum * kLatencyUnits));
  }
  return text;
}

std::optional<EvidenceMessage> ParseEvidence(std::string_view text) {
  if (TakeUntil(&text, '\n') != kFormat) return std::nullopt;
  EvidenceMessage message;
  std::optional<OriginLine> origin;
  while (!text.empty()) {
    const auto line = TakeUntil(&text, '\n');
    if (line == kWantsAll) {
      message.wants_all = true;
    } else if (line.starts_with(kOriginPrefix)) {
      origin.emplace();
      if (!ParseOrigin(line, &*origin)) return std::nullopt;
    } else {
      const auto report = origin ? ParseReport(line, *origin) : std::nullopt;
      if (!report) return std::nullopt;
      message.reports.push_back(*report);
    }
  }
  return message;
}

}  // namespace hibiscuspick::edge
