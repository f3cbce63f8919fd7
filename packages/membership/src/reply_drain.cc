#include "hibiscuspick/membership/reply_drain.h"

namespace hibiscuspick::membership {

std::optional<DrainReport> DrainReportOfReply(const DrainTable& table,
                                              const BackendServerId& server,
                                              Incarnation incarnation,
                                              bool draining) {
  const auto it = table.find(server);
  const bool known = it != table.end();
  // That a server is not draining is only worth a report if it was known to
  // drain. Otherwise every server would get an entry in the table and in
  // messages.
  if (!known && !draining) return std::nullopt;
  DrainReport report;
  report.server = server;
  report.incarnation = incarnation;
  report.draining = draining;
  if (!known) return report;
  // A reply only adds to the current round: an operator's revocation of a drain
  // stays in force until the next incarnation.
  report.round = it->second.round;
  if (!Replaces(report, it->second)) return std::nullopt;
  return report;
}

}  // namespace hibiscuspick::membership
