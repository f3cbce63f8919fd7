#include "hibiscuspick/membership/server_news.h"

#include <limits>
#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::membership {
namespace {

std::tuple<uint64_t, uint64_t, bool> RankOf(const ServerNews& news) {
  const bool any_life = news.draining && news.incarnation.value == 0;
  const uint64_t life =
      any_life ? std::numeric_limits<uint64_t>::max() : news.incarnation.value;
  return {news.round, life, news.draining};
}

}  // namespace

bool Replaces(const ServerNews& a, const ServerNews& b) {
  return RankOf(a) > RankOf(b);
}

bool MergeServer(ServerNewsTable* table, const ServerNews& news) {
  const auto [it, inserted] = table->try_emplace(news.server, news);
  if (inserted) return true;
  if (!Replaces(news, it->second)) return false;
  it->second = news;
  return true;
}

ServerNews UndrainOf(const ServerNewsTable& table,
                     const BackendServerId& server) {
  ServerNews news;
  news.server = server;
  const auto it = table.find(server);
  if (it == table.end()) return news;
  news.incarnation = it->second.incarnation;
  news.round = it->second.round + 1;
  return news;
}

size_t ServerBucketOf(const BackendServerId& id) {
  return static_cast<size_t>(Hash(id.text) % kServerBuckets);
}

ServerBuckets BucketsOf(const ServerNewsTable& table) {
  ServerBuckets buckets{};
  for (const auto& [id, it] : table) {
    const uint64_t life = it.incarnation.value * 31 + it.round;
    const uint64_t hash = Hash(id.text, life * 2 + (it.draining ? 1 : 0));
    buckets[ServerBucketOf(id)] ^= static_cast<uint32_t>(hash);
  }
  return buckets;
}

}  // namespace hibiscuspick::membership
