#include "hibiscuspick/engine/load_report.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace hibiscuspick::engine {
namespace {

// More requests at one server, or work slowed down a thousandfold, is treated
// as an error.
constexpr int kMaxValue = 100000;

constexpr double kPercent = 100;
constexpr size_t kMinFields = 3;
constexpr size_t kMaxFields = 4;

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  std::array<int, kMaxFields> fields{};
  size_t n = 0;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (true) {
    while (at != end && *at == ' ') ++at;
    if (n == kMaxFields) return std::nullopt;
    const auto parsed = std::from_chars(at, end, fields[n]);
    if (parsed.ec != std::errc()) return std::nullopt;
    if (fields[n] < 0 || fields[n] > kMaxValue) return std::nullopt;
    ++n;
    at = parsed.ptr;
    if (at == end) break;
    if (*at++ != ',') return std::nullopt;
  }
  if (n < kMinFields || fields[2] == 0) return std::nullopt;
  LoadReport report{fields[0], fields[1], fields[2], 1};
  if (n == kMaxFields) {
    if (fields[3] == 0) return std::nullopt;
    report.work_factor = fields[3] / kPercent;
  }
  return report;
}

}  // namespace hibiscuspick::engine
