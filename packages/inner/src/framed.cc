#include "framed.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <utility>

namespace hibiscuspick::inner {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TBinaryProtocolFactory;
using apache::thrift::protocol::TProtocolFactory;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TTransport;

constexpr int kMaxNesting = 16;
// Thrift's own default, which has no definition to link to.
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
    // Thrift counts what is read against its limit for one message and, in
    // version 0.17, never starts anew: a connection would break after 100 MB
    // in all, which looks like a peer that crashes every few minutes.
    resetConsumedMessageSize();
    if (!TFramedTransport::readFrame()) return false;
    *bytes_.received += static_cast<uint64_t>(rBound_ - rBase_);
    return true;
  }

 private:
  const ByteCounts bytes_;
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
  const auto most = static_cast<int32_t>(max_frame);
  return std::make_shared<TBinaryProtocolFactory>(most, most, true, true);
}

}  // namespace hibiscuspick::inner
