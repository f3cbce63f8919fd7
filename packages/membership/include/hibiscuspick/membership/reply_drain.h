// Derives drain reports from the replies of backend servers.
#pragma once

#include <optional>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/membership/drain_table.h"

namespace hibiscuspick::membership {

// Returns the report in a reply that names its server's incarnation and whether
// it is draining; none if the table already has it.
std::optional<DrainReport> DrainReportOfReply(const DrainTable& table,
                                              const BackendServerId& server,
                                              Incarnation incarnation,
                                              bool draining);

}  // namespace hibiscuspick::membership
