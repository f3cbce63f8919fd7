// A socket that sends any bytes, for requests that no client library makes.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace hibiscuspick::front {

class RawClient {
 public:
  explicit RawClient(uint16_t port) : sock_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    connect(sock_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Stops early if the other side has closed.
  void Send(const std::string& text) {
    size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n =
          send(sock_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return;
      sent += static_cast<size_t>(n);
    }
  }
  // All that comes until the other side closes.
  std::string ReadAll() {
    std::string all;
    char buf[4096];
    for (;;) {
      const ssize_t n = recv(sock_, buf, sizeof(buf), 0);
      if (n <= 0) return all;
      all.append(buf, static_cast<size_t>(n));
    }
  }
  void Close() {
    if (sock_ >= 0) close(sock_);
    sock_ = -1;
  }

 private:
  int sock_;
};

inline std::string PostText(const std::string& path, const std::string& body,
                            const std::string& headers = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline int StatusIn(const std::string& reply) {
  return reply.size() < 12 ? 0 : std::stoi(reply.substr(9, 3));
}

inline std::string BodyIn(const std::string& reply) {
  const size_t at = reply.find("\r\n\r\n");
  return at == std::string::npos ? "" : reply.substr(at + 4);
}

}  // namespace hibiscuspick::front
