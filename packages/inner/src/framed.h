// Thrift's framed binary protocol with size limits and checks.
#pragma once

#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TTransport.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace hibiscuspick::inner {

// Counters for the bytes of frames.
struct ByteCounts {
  std::atomic<uint64_t>* sent;
  std::atomic<uint64_t>* received;
};

// A frame larger than `max_frame` ends the connection before any of it is
// buffered.
std::shared_ptr<apache::thrift::transport::TTransport> MakeFramed(
    std::shared_ptr<apache::thrift::transport::TTransport> inner,
    size_t max_frame, const ByteCounts& bytes);

// Strings and lists whose declared length exceeds a frame are rejected before
// memory is allocated for them.
std::shared_ptr<apache::thrift::protocol::TProtocolFactory> MakeProtocolFactory(
    size_t max_frame);

}  // namespace hibiscuspick::inner
