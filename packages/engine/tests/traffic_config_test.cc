#include "hibiscuspick/engine/traffic_config.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <ostream>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::engine {
namespace {

TrafficConfig SomeRoutes() {
  TrafficConfig config;
  for (const auto& [id, prefix] : std::map<std::string, std::string>{
           {"short", "/a/"}, {"long", "/a/b/"}, {"other", "/c/"}}) {
    Route route;
    route.id = RouteId(id);
    route.host = "Search.Example";
    route.prefix = prefix;
    config.routes.push_back(route);
  }
  IndexRoutes(&config);
  return config;
}

struct FindRow {
  const char* host;
  const char* target;
  const char* route;
};

std::ostream& operator<<(std::ostream& out, const FindRow& row) {
  return out << row.host << row.target;
}

const FindRow kFinds[] = {
    {"search.example", "/a/x", "short"},
    {"search.example", "/a/b/x", "long"},
    {"search.example", "/a/b/", "long"},
    {"search.example", "/a/b", "short"},
    {"SEARCH.example:8080", "/c/x?y=/a/b/", "other"},
    {"search.example", "/a", ""},
    {"search.example", "/x?/a/b/", ""},
    {"elsewhere.example", "/a/x", ""},
    {"", "/a/x", ""},
};

BOOST_DATA_TEST_CASE(FindsTheLongestPrefixOfTheHost, bdata::make(kFinds), row) {
  const auto config = SomeRoutes();
  const auto* route = FindRoute(config, row.host, row.target);
  BOOST_TEST((route ? route->id.text : "") == row.route);
}

// A random split keeps its shares over a day, but not over the few hundred
// requests after which an operator checks whether a change took effect.
BOOST_AUTO_TEST_CASE(SplitKeepsItsSharesAtEveryScale) {
  Route route;
  route.split = {
      {ServiceId("a"), 0.7}, {ServiceId("b"), 0.2}, {ServiceId("c"), 0.1}};
  SplitState state;
  std::map<ServiceId, int> counts;
  for (int n = 1; n <= 300; ++n) {
    ++counts[NextService(route, &state)];
    for (const auto& it : route.split) {
      BOOST_TEST(std::abs(counts[it.service] - it.weight * n) <= 1.0);
    }
  }
}

}  // namespace
}  // namespace hibiscuspick::engine
