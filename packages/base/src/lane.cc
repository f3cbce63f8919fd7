#include "hibiscuspick/base/lane.h"

namespace hibiscuspick {
namespace {

constexpr std::array<std::string_view, kLaneCount> kNames = {
    "urgent", "interactive", "ordinary", "bulk"};

}  // namespace

std::string_view LaneName(Lane lane) { return kNames[LaneIndex(lane)]; }

std::optional<Lane> ParseLane(std::string_view name) {
  for (const Lane it : kAllLanes) {
    if (LaneName(it) == name) return it;
  }
  return std::nullopt;
}

}  // namespace hibiscuspick
