#include "drain_spread.h"

#include "hibiscuspick/settings/object_json.h"
#include "reply.h"

namespace hibiscuspick::operators {

void SpreadDrain(const Write& write) {
  const settings::Drain drain{BackendServerId(write.name.rest), ""};
  if (write.value.is_null()) return;
  if (!IsGood(settings::ReadDrain(drain.server, write.value))) return;
  write.ports.announce_drain(drain.server, true);
}

void ConcludeDrain(const Write& write, Reply* reply) {
  const BackendServerId server(write.name.rest);
  const bool unstored =
      reply->status == kStatusUnavailable || reply->status == kStatusUnknown;
  if (write.value.is_null()) {
    // A stored order to drain stays in force until it is deleted on the
    // platform.
    const bool stays = write.configuration->drains.contains(server);
    if (stays && reply->status != kStatusOk) return;
    write.ports.announce_drain(server, false);
  } else if (reply->status == kStatusConflict) {
    const bool there =
        reply->body.contains("value") && !reply->body["value"].is_null();
    if (!there) write.ports.announce_drain(server, false);
  }
  if (!unstored) return;
  reply->body["spread"] = true;
  reply->body["stored"] = false;
}

}  // namespace hibiscuspick::operators
