#include "framed.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/protocol/TProtocolException.h>
#include <thrift/protocol/TVirtualProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <string>
#include <utility>

namespace hibiscuspick::inner {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TProtocol;
using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TProtocolFactory;
using apache::thrift::protocol::TType;
using apache::thrift::protocol::TVirtualProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TTransport;

constexpr int kMaxNesting = 16;
// Equal to Thrift's own default, which has no definition to link to.
constexpr int kMaxMessage = 100 << 20;

class CountingFramed : public TFramedTransport {
 public:
  CountingFramed(std::shared_ptr<TTransport> inner,
                 std::shared_ptr<TConfiguration> configuration,
                 const ByteCounts& bytes)
      : TFramedTransport(std::move(inner), std::move(configuration)),
        bytes_(bytes) {}

  void flush() override {
    *bytes_.sent += static_cast<uint64_t>(wBase_ - wBuf_.get());
    TFramedTransport::flush();
  }

 protected:
  bool readFrame() override {
    // In version 0.17, Thrift counts all bytes read against its limit for one
    // message and never resets the count. A connection would break after 100 MB
    // in total, which looks like a peer that crashes every few minutes.
    resetConsumedMessageSize();
    if (!TFramedTransport::readFrame()) return false;
    *bytes_.received += static_cast<uint64_t>(rBound_ - rBase_);
    return true;
  }

 private:
  const ByteCounts bytes_;
};

// Thrift 0.17 converts any byte of a frame to its enum of types. An enum value
// out of range is undefined behaviour, so a damaged frame could take any path
// through the decoder (the undefined behaviour sanitizer detects this). The
// byte is therefore checked first, and an unknown type is rejected, which ends
// the connection. The check costs one call for each field and list.
class CheckedProtocol
    : public TVirtualProtocol<CheckedProtocol, TBinaryProtocol> {
 public:
  CheckedProtocol(const std::shared_ptr<TTransport>& transport,
                  int32_t max_length)
      : TVirtualProtocol(transport) {
    setStringSizeLimit(max_length);
    setContainerSizeLimit(max_length);
    setStrict(true, true);
  }

  uint32_t readFieldBegin(std::string& name, TType& type, int16_t& id) {
    CheckTypes(1);
    return TBinaryProtocol::readFieldBegin(name, type, id);
  }

  uint32_t readListBegin(TType& type, uint32_t& size) {
    CheckTypes(1);
    return TBinaryProtocol::readListBegin(type, size);
  }

  uint32_t readSetBegin(TType& type, uint32_t& size) {
    CheckTypes(1);
    return TBinaryProtocol::readSetBegin(type, size);
  }

  uint32_t readMapBegin(TType& key, TType& value, uint32_t& size) {
    CheckTypes(2);
    return TBinaryProtocol::readMapBegin(key, value, size);
  }

 private:
  // Checks that the next `n` bytes are valid types. A frame that ends before
  // them is rejected too: Thrift would continue in the next frame, whose bytes
  // were not checked.
  void CheckTypes(uint32_t n) {
    uint32_t available = n;
    const uint8_t* next = trans_->borrow(nullptr, &available);
    if (next == nullptr) {
      throw TProtocolException(TProtocolException::INVALID_DATA,
                               "frame is too short");
    }
    for (uint32_t i = 0; i < n; ++i) {
      if (next[i] <= apache::thrift::protocol::T_UTF16) continue;
      throw TProtocolException(TProtocolException::INVALID_DATA,
                               "unknown Thrift type");
    }
  }
};

class CheckedProtocolFactory : public TProtocolFactory {
 public:
  explicit CheckedProtocolFactory(int32_t max_length)
      : max_length_(max_length) {}

  std::shared_ptr<TProtocol> getProtocol(
      std::shared_ptr<TTransport> transport) override {
    return std::make_shared<CheckedProtocol>(transport, max_length_);
  }

 private:
  const int32_t max_length_;
};

}  // namespace

std::shared_ptr<TTransport> MakeFramed(std::shared_ptr<TTransport> inner,
                                       size_t max_frame,
                                       const ByteCounts& bytes) {
  const auto configuration = std::make_shared<TConfiguration>(
      kMaxMessage, static_cast<int>(max_frame), kMaxNesting);
  return std::make_shared<CountingFramed>(std::move(inner), configuration,
                                          bytes);
}

std::shared_ptr<TProtocolFactory> MakeProtocolFactory(size_t max_frame) {
  return std::make_shared<CheckedProtocolFactory>(
      static_cast<int32_t>(max_frame));
}

}  // namespace hibiscuspick::inner
