// Which sites can send to which, on virtual time. A site is a data centre or
// "platform"; an instance or backend server is reached through its site.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::scenario {

inline constexpr char kPlatformSite[] = "platform";

struct Network {
  Millis near{0.2};
  Millis far{1.5};
  // Directions that lose everything.
  std::set<std::pair<std::string, std::string>> cut;
};

inline bool Passes(const Network& network, const std::string& from,
                   const std::string& to) {
  return !network.cut.contains({from, to});
}

inline Millis DelayOf(const Network& network, const std::string& from,
                      const std::string& to) {
  return from == to ? network.near : network.far;
}

}  // namespace hibiscuspick::scenario
