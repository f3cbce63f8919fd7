// Reads the callers' request bodies into checked requests.
#pragma once

#include <string>

#include "hibiscuspick/base/result.h"
#include "hibiscuspick/front/callers_api.h"
#include "hibiscuspick/records/record_runner.h"
#include "hibiscuspick/routing/query.h"

namespace hibiscuspick::front {

// Fills in query, limit, deadline, min_coverage and values. Errors:
// kMalformedRequest with the JSON path of the fault.
Result<routing::QueryRequest> ReadQuery(const std::string& body,
                                        const routing::RouteValues& values);

// Fills in key, shard, record and, if named, the deadline (0 if not).
Result<records::RecordRequest> ReadRecord(const std::string& body);

}  // namespace hibiscuspick::front
