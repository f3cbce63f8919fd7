#include "size.h"

namespace hibiscuspick::inner {
namespace {

// Field headers, lengths and numbers of one struct, rounded up.
constexpr size_t kStruct = 96;
constexpr size_t kMember = 160;
constexpr size_t kHash = 16;
constexpr size_t kField = 8;

size_t SizeOf(const limits::PartRequest& it) {
  size_t size = 2 * kStruct + it.query.size() + it.customer.text.size() +
                it.route.text.size() + it.origin.instance.text.size();
  for (const auto& work : it.shards) {
    size += kStruct + work.shard.text.size() + work.service.text.size();
    for (const auto& server : work.servers) {
      size += kField + server.text.size();
    }
  }
  return size;
}

size_t SizeOf(const PartOutcomes& it) {
  size_t size = kStruct;
  for (const auto& outcome : it.outcomes) {
    size += kStruct + outcome.shard.text.size() + kField * outcome.held.size();
    for (const auto& hit : outcome.hits) {
      size += kStruct + hit.id.size() + hit.fields.size();
    }
  }
  return size;
}

size_t SizeOf(const PartCancel& it) {
  return kStruct + it.origin.instance.text.size();
}

size_t SizeOf(const membership::Digest& it) {
  return 2 * kMember +
         kHash * (it.member_buckets.size() + it.server_buckets.size() +
                  it.heartbeats.size()) +
         kStruct * it.data_centres.size();
}

size_t SizeOf(const membership::MembershipDelta& it) {
  return kStruct + kMember * it.members.size() + kStruct * it.servers.size();
}

size_t SizeOf(const settings::ConfigDelta& it) {
  size_t size = kStruct;
  for (const auto& object : it.objects) {
    size += kStruct + object.name.size() + object.text.size();
  }
  return size;
}

}  // namespace

size_t ApproximateSize(const Message& message) {
  return std::visit([](const auto& it) { return SizeOf(it); }, message);
}

}  // namespace hibiscuspick::inner
