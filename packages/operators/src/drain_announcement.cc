#include "drain_announcement.h"

#include "hibiscuspick/settings/object_json.h"
#include "reply.h"

namespace hibiscuspick::operators {

void AnnounceDrain(const Write& write) {
  const settings::Drain drain{BackendServerId(write.name.rest), ""};
  if (write.value.is_null()) return;
  if (!IsValid(settings::ReadDrain(drain.server, write.value))) return;
  write.ports.announce_drain(drain.server, true);
}

void FinishDrain(const Write& write, Reply* reply) {
  const BackendServerId server(write.name.rest);
  const bool is_not_stored = reply->status == kStatusUnavailable ||
                             reply->status == kStatusGatewayTimeout;
  if (write.value.is_null()) {
    // A stored order to drain stays in force until it is deleted on the
    // platform.
    const bool is_in_force = write.configuration->drains.contains(server);
    if (is_in_force && reply->status != kStatusOk) return;
    write.ports.announce_drain(server, false);
  } else if (reply->status == kStatusConflict) {
    const bool exists =
        reply->body.contains("value") && !reply->body["value"].is_null();
    if (!exists) write.ports.announce_drain(server, false);
  }
  if (!is_not_stored) return;
  reply->body["spread"] = true;
  reply->body["stored"] = false;
}

}  // namespace hibiscuspick::operators
