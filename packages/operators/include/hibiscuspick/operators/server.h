// The operators' port: the API on an HTTP server.
#pragma once

#include <memory>

#include "hibiscuspick/http/server.h"
#include "hibiscuspick/operators/api.h"

namespace hibiscuspick::operators {

// Adds all paths of the API to a server that is not started yet.
void AddRoutes(http::Server* server, std::shared_ptr<const Ports> ports);

}  // namespace hibiscuspick::operators
