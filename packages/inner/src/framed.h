// Thrift's framed binary protocol with our limits.
#pragma once

#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TTransport.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace hibiscuspick::inner {

// Where to count the bytes of frames.
struct ByteCounts {
  std::atomic<uint64_t>* sent;
  std::atomic<uint64_t>* received;
};

// A frame over `max_frame` ends the connection before
// any of it is kept.
std::shared_ptr<apache::thrift::transport::TTransport> MakeFramed(
    std::shared_ptr<apache::thrift::transport::TTransport> inner,
    size_t max_frame, const ByteCounts& bytes);

// Strings and lists that claim to be longer than a frame can be are refused
// before memory is taken for them.
std::shared_ptr<apache::thrift::protocol::TProtocolFactory> MakeProtocolFactory(
    size_t max_frame);

}  // namespace hibiscuspick::inner
