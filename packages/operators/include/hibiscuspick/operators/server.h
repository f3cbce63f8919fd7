// Serves the operators' API on an HTTP server.
#pragma once

#include <memory>

#include "hibiscuspick/http/server.h"
#include "hibiscuspick/operators/api.h"

namespace hibiscuspick::operators {

// Adds all paths of the API to a server that has not been started yet.
void AddRoutes(http::Server* server, std::shared_ptr<const Ports> ports);

}  // namespace hibiscuspick::operators
