#include "hibiscuspick/membership/reply_news.h"

namespace hibiscuspick::membership {

std::optional<ServerNews> NewsOfReply(const ServerNewsTable& table,
                                      const BackendServerId& server,
                                      Incarnation incarnation, bool draining) {
  const auto it = table.find(server);
  const bool known = it != table.end();
  // That a server is not draining is only worth a report if it was known to
  // drain. Otherwise every server would get an entry in the table and in
  // messages.
  if (!known && !draining) return std::nullopt;
  ServerNews news;
  news.server = server;
  news.incarnation = incarnation;
  news.draining = draining;
  if (!known) return news;
  // A reply only adds to the current round: an operator's revocation of a drain
  // stays in force until the next incarnation.
  news.round = it->second.round;
  if (!Replaces(news, it->second)) return std::nullopt;
  return news;
}

}  // namespace hibiscuspick::membership
