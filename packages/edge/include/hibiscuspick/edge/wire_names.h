// Names of the HTTP headers with a meaning to this software. They are defined
// by the platform that an instance is deployed on, so the adapter sets them.
#pragma once

#include <string>

namespace hibiscuspick::edge {

struct WireNames {
  // Id that a caller gives one attempt; servers echo it.
  std::string request_id;
  // Milliseconds that the sender of the request will wait.
  std::string deadline;
  // Stamp by which a server certifies its reply.
  std::string stamp;
  // Id of the server that a request is meant for; others refuse it.
  std::string expect_instance;
  // Set in a reply if the server has not run the request.
  std::string not_run;
  // Remaining warm-up time of a server, in milliseconds.
  std::string warmup;
  // A server's load report; see engine::ParseLoadReport.
  std::string load;
  // In a merged answer: the stamps of its parts, and the number of missing
  // shards.
  std::string part_stamps;
  std::string parts_missing;
  // To servers: the name of the caller's account. Never taken from a caller.
  std::string account;
};

}  // namespace hibiscuspick::edge
