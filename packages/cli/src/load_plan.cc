#include "hibiscuspick/cli/load_plan.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "hibiscuspick/base/random.h"

namespace hibiscuspick::cli {
namespace {

constexpr double kMillisPerSecond = 1000;

void AddRoute(const LoadPlan& plan, uint32_t route, Random* random,
              std::vector<Arrival>* arrivals) {
  const double gap = kMillisPerSecond / plan.mix[route].per_second;
  // Routes start at different places, or each round of an even mix would come
  // as one burst.
  double at = gap * random->Fraction();
  while (at < plan.duration.count) {
    arrivals->push_back({Millis(at), route});
    const bool even = plan.spacing == Spacing::kEven;
    at += even ? gap : -gap * std::log(1 - random->Fraction());
  }
}

}  // namespace

std::vector<Arrival> PlanArrivals(const LoadPlan& plan) {
  std::vector<Arrival> arrivals;
  Random random(plan.seed);
  for (uint32_t i = 0; i < plan.mix.size(); ++i) {
    AddRoute(plan, i, &random, &arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

Result<std::vector<RouteRate>> ParseMix(std::string_view text) {
  std::vector<RouteRate> mix;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    const std::string_view part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const size_t equals = part.find('=');
    const std::string_view number =
        equals == std::string_view::npos ? "" : part.substr(equals + 1);
    RouteRate rate;
    const char* end = number.data() + number.size();
    const auto [rest, ec] =
        std::from_chars(number.data(), end, rate.per_second);
    const bool is_sound = ec == std::errc() && rest == end && equals > 0 &&
                          std::isfinite(rate.per_second) && rate.per_second > 0;
    if (!is_sound) {
      return Error{Code::kMalformedRequest, std::string(part),
                   "not a route and its queries per second, such as fraud=50"};
    }
    rate.route = std::string(part.substr(0, equals));
    mix.push_back(rate);
  }
  return mix;
}

}  // namespace hibiscuspick::cli
