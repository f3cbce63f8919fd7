// An IP number and port, as settings and objects spell it: "127.0.0.1:8001".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hibiscuspick/base/result.h"

namespace hibiscuspick {

struct Address {
  std::string ip;
  uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

// Reads "IP:port" with an IPv4 number. Errors: kInvalidValue, since names are
// never looked up.
Result<Address> ParseAddress(std::string_view text);

std::string ToText(const Address& address);

}  // namespace hibiscuspick
