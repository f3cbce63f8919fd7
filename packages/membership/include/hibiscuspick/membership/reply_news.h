// What a backend server's reply adds to the news of it.
#pragma once

#include <optional>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/membership/server_news.h"

namespace hibiscuspick::membership {

// The news in a reply that names its server's life and says whether it drains;
// none if the table knows as much.
std::optional<ServerNews> NewsOfReply(const ServerNewsTable& table,
                                      const BackendServerId& server,
                                      Incarnation incarnation, bool draining);

}  // namespace hibiscuspick::membership
