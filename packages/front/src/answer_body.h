// Writes answers as JSON. Hits' fields are JSON text from backend servers that
// was checked when it was read, and are copied unread.
#pragma once

#include <string>

#include "hibiscuspick/front/callers_api.h"
#include "hibiscuspick/routing/query.h"

namespace hibiscuspick::front {

std::string AnswerBody(const std::string& request_id,
                       const routing::Answer& answer,
                       const ConfigurationAge& age);

std::string RecordBody(const std::string& result);

}  // namespace hibiscuspick::front
