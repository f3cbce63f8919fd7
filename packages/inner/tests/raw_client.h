// A client of the inner port that sends arbitrary bytes.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>

#include "Inner.h"
#include "hibiscuspick/base/address.h"

namespace hibiscuspick::inner::testing {

class RawClient {
 public:
  explicit RawClient(const Address& address)
      : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    connected_ =
        ::connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
    // Only guards against a hang.
    const timeval limit{30, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  ~RawClient() { ::close(fd_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }

  bool Send(const std::string& bytes) {
    return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  // The next frame's content; empty if the other side has closed.
  std::string ReadFrame() {
    const std::string head = ReadAll(4);
    if (head.size() < 4) return "";
    uint32_t size = 0;
    for (const char it : head) size = size * 256 + static_cast<uint8_t>(it);
    return ReadAll(size);
  }

  // Waits until the other side closes; false if it sends a byte instead.
  bool IsClosed() { return ReadAll(1).empty(); }

 private:
  std::string ReadAll(size_t n) {
    std::string bytes(n, '\0');
    size_t done = 0;
    while (done < n) {
      const auto k = ::recv(fd_, bytes.data() + done, n - done, 0);
      if (k <= 0) return "";
      done += static_cast<size_t>(k);
    }
    return bytes;
  }

  const int fd_;
  bool connected_ = false;
};

inline std::string Framed(const std::string& content) {
  std::string bytes;
  for (const int shift : {24, 16, 8, 0}) {
    bytes += static_cast<char>((content.size() >> shift) & 0xff);
  }
  return bytes + content;
}

using apache::thrift::protocol::TProtocol;

// The output of `write`, as the content of one frame.
inline std::string Encoded(const std::function<void(TProtocol*)>& write) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(buffer);
  write(&protocol);
  return buffer->getBufferAsString();
}

// The frame of a call with its one argument as field 1.
inline std::string CallOf(const std::string& name,
                          apache::thrift::protocol::TMessageType type,
                          apache::thrift::protocol::TType argument,
                          const std::function<void(TProtocol*)>& write) {
  return Framed(Encoded([&](TProtocol* it) {
    it->writeMessageBegin(name, type, 0);
    it->writeStructBegin("args");
    it->writeFieldBegin("argument", argument, 1);
    write(it);
    it->writeFieldEnd();
    it->writeFieldStop();
    it->writeStructEnd();
    it->writeMessageEnd();
  }));
}

inline wire::Hello GoodHello() {
  wire::Hello hello;
  hello.protocol_version = 1;
  hello.key = "secret";
  hello.instance = "raw";
  hello.incarnation = 1;
  hello.data_centre = "osl-1";
  return hello;
}

inline std::string HelloFrame(const wire::Hello& hello) {
  namespace protocol = apache::thrift::protocol;
  return CallOf("hello", protocol::T_CALL, protocol::T_STRUCT,
                [&](TProtocol* it) { hello.write(it); });
}

inline wire::HelloReply HelloReplyOf(const std::string& frame) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  buffer->write(reinterpret_cast<const uint8_t*>(frame.data()),
                static_cast<uint32_t>(frame.size()));
  const auto protocol =
      std::make_shared<apache::thrift::protocol::TBinaryProtocol>(buffer);
  wire::InnerClient client(protocol);
  wire::HelloReply reply;
  client.recv_hello(reply);
  return reply;
}

}  // namespace hibiscuspick::inner::testing
