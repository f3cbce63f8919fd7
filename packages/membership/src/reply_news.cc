#include "hibiscuspick/membership/reply_news.h"

namespace hibiscuspick::membership {

std::optional<ServerNews> NewsOfReply(const ServerNewsTable& table,
                                      const BackendServerId& server,
                                      Incarnation incarnation, bool draining) {
  const auto it = table.find(server);
  const bool known = it != table.end();
  // That a server takes work is news only where it was known to drain: all
  // servers do, and saying so of each would fill the table and the wire.
  if (!known && !draining) return std::nullopt;
  ServerNews news;
  news.server = server;
  news.incarnation = incarnation;
  news.draining = draining;
  if (!known) return news;
  // A reply can only add to what is known in the same round: an operator's word
  // that the server takes work again stands until the next life.
  news.round = it->second.round;
  if (!Replaces(news, it->second)) return std::nullopt;
  return news;
}

}  // namespace hibiscuspick::membership
