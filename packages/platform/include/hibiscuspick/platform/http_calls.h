// The platform's object API over HTTP. The one file that knows its shape; for
// another platform, write another src/http_calls.cc.
#pragma once

#include <cstddef>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/platform/calls.h"

namespace hibiscuspick::platform {

struct HttpCallLimits {
  Millis connect_timeout{500};
  // For one call, a watch's waiting apart.
  Millis timeout{2000};
  // Connections kept between calls.
  size_t max_idle_connections = 4;
  // Bytes of one answer; a whole listing is the largest.
  size_t max_body = 64 << 20;
};

// What is relied on: a connect that fails and the statuses 4xx and 503 mean
// that a PUT was not taken. Anything else that isn't a whole 200 is
// kPlatformReplyLost, since it may have been taken.
Calls MakeHttpCalls(const Address& address, HttpCallLimits limits = {});

}  // namespace hibiscuspick::platform
