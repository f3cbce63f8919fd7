// The platform's object API over HTTP. For another platform, write another
// src/http_calls.cc; no other file depends on the protocol.
#pragma once

#include <cstddef>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::platform {

struct HttpCallLimits {
  Millis connect_timeout{500};
  // For one call, not counting the time that a watch waits.
  Millis timeout{2000};
  // Idle connections kept for reuse.
  size_t max_idle_connections = 4;
  // Maximum bytes of a reply body; a full list is the largest.
  size_t max_body = 64 << 20;
};

// Assumes that after a failed connect or a status of 4xx or 503 the PUT was not
// applied. Any other outcome except a complete 200 or 201 reply is reported as
// kPlatformReplyLost, since the PUT may have been applied.
Calls MakeHttpCalls(const Address& address, HttpCallLimits limits = {});

}  // namespace hibiscuspick::platform
