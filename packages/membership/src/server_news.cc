#include "hibiscuspick/membership/server_news.h"

#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::membership {

bool Replaces(const ServerNews& a, const ServerNews& b) {
  return std::tie(a.incarnation, a.round, a.draining) >
         std::tie(b.incarnation, b.round, b.draining);
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
