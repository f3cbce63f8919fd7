// What tests with real sockets and threads need: waiting for a condition, and
// ports for what they start.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <thread>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick {

// How long a condition may take before the test is taken to hang. Never a
// bound on anything measured.
inline constexpr Millis kHangGuard{60000};

// Waits until the condition holds; false only when the test hangs.
inline bool Eventually(const std::function<bool()>& holds) {
  const Millis until = SteadyNow() + kHangGuard;
  while (SteadyNow() < until) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

// A port that nobody listens on, below those the kernel hands out for outgoing
// connections, so that none of those can take it meanwhile.
inline uint16_t FreePort() {
  constexpr uint32_t kFirst = 15000;
  constexpr uint32_t kCount = 15000;
  static std::atomic<uint32_t> next{static_cast<uint32_t>(getpid()) * 61};
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int ec =
        bind(sock, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(sock);
    if (ec == 0) return port;
  }
}

}  // namespace hibiscuspick
