#include "hibiscuspick/base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace hibiscuspick {

Result<Address> ParseAddress(std::string_view text) {
  const Error fault{Code::kInvalidValue, std::string(text),
                    "not an IPv4 number and port such as 127.0.0.1:8001"};
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return fault;
  Address address;
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return fault;
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [rest, ec] = std::from_chars(port.data(), end, address.port);
  if (ec != std::errc() || rest != end || address.port == 0) return fault;
  return address;
}

std::string ToText(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace hibiscuspick
