#include "hibiscuspick/engine/load_report.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace hibiscuspick::engine {
namespace {

// More requests at one server, or work slowed down a thousandfold, is treated
// as an error.
constexpr int kLargest = 100000;

constexpr double kPercent = 100;
constexpr size_t kFewest = 3;
constexpr size_t kMost = 4;

}  // namespace

std::optional<LoadReport> ReadLoadReport(std::string_view text) {
  std::array<int, kMost> figures{};
  size_t n = 0;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (true) {
    while (at != end && *at == ' ') ++at;
    if (n == kMost) return std::nullopt;
    const auto read = std::from_chars(at, end, figures[n]);
    if (read.ec != std::errc()) return std::nullopt;
    if (figures[n] < 0 || figures[n] > kLargest) return std::nullopt;
    ++n;
    at = read.ptr;
    if (at == end) break;
    if (*at++ != ',') return std::nullopt;
  }
  if (n < kFewest || figures[2] == 0) return std::nullopt;
  LoadReport report{figures[0], figures[1], figures[2], 1};
  if (n == kMost) {
    if (figures[3] == 0) return std::nullopt;
    report.work_factor = figures[3] / kPercent;
  }
  return report;
}

}  // namespace hibiscuspick::engine
