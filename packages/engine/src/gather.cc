#include "hibiscuspick/engine/gather.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hibiscuspick::engine {

namespace {

// Shares are decimal fractions with few digits. Without this tolerance a
// product that is an integer but for rounding would be rounded up or down by
// one part.
constexpr double kRounding = 1e-9;

}  // namespace

size_t PartsNeeded(double min_coverage, size_t shards) {
  const double exact = min_coverage * static_cast<double>(shards) - kRounding;
  const auto needed = static_cast<size_t>(std::ceil(std::max(exact, 0.0)));
  return std::clamp<size_t>(needed, 1, std::max<size_t>(shards, 1));
}

size_t PartsNeededOfSubset(double min_coverage, size_t shards) {
  return static_cast<size_t>(min_coverage * static_cast<double>(shards) +
                             kRounding);
}

GatherStep NextStep(const GatherProgress& progress,
                    const GatherDeadlines& deadlines, Millis now) {
  const bool enough = progress.received >= progress.needed;
  const size_t pending = progress.shards - progress.received - progress.failed;
  if (enough && (pending == 0 || now >= deadlines.answer_at)) {
    return GatherStep::kAnswer;
  }
  if (progress.received + pending < progress.needed) return GatherStep::kFail;
  if (now >= deadlines.deadline) return GatherStep::kTimedOut;
  return GatherStep::kWait;
}

bool AwaitsChecks(bool checks_pending, const GatherDeadlines& deadlines,
                  Millis now) {
  return checks_pending && now < deadlines.deadline;
}

std::string MergeTop(const std::vector<std::string_view>& bodies, size_t top) {
  std::vector<std::string_view> records;
  for (const auto& body : bodies) {
    for (size_t i = 0; i + kRecordBytes <= body.size(); i += kRecordBytes) {
      records.push_back(body.substr(i, kRecordBytes));
    }
  }
  const size_t n = std::min(top, records.size());
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(n);
  std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(n * kRecordBytes);
  for (auto it = records.begin(); it != middle; ++it) merged.append(*it);
  return merged;
}

}  // namespace hibiscuspick::engine
