// The four lanes of traffic, most urgent first.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hibiscuspick {

enum class Lane { kUrgent, kInteractive, kOrdinary, kBulk };

inline constexpr size_t kLaneCount = 4;
inline constexpr std::array<Lane, kLaneCount> kAllLanes = {
    Lane::kUrgent, Lane::kInteractive, Lane::kOrdinary, Lane::kBulk};

constexpr size_t LaneIndex(Lane lane) { return static_cast<size_t>(lane); }

// "urgent", "interactive", "ordinary" or "bulk", as settings and the X-Lane
// header spell it.
std::string_view LaneName(Lane lane);

// The lane of that name, if there is one.
std::optional<Lane> ParseLane(std::string_view name);

}  // namespace hibiscuspick
