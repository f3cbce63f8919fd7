// The fields of a caller's request by which this instance handles it. Each has
// one value, for this instance, its peers and the servers alike.
#pragma once

#include <string_view>
#include <vector>

#include "hibiscuspick/edge/http_message.h"
#include "hibiscuspick/edge/wire_names.h"

namespace hibiscuspick::edge {

enum class RequestDefect {
  kNone,
  // The id is missing or empty: servers refuse the request.
  kNoRequestId,
  // A field that is read here occurs more than once.
  kRepeatedField,
};
std::string_view DefectName(RequestDefect defect);

RequestDefect CheckCallerFields(const std::vector<Header>& headers,
                                const WireNames& names);

// The headers that go on to servers and peers: the end-to-end ones. Host and
// the request's id are kept even if `Connection` names them: both are needed by
// all who receive the request (RFC 9110, 7.6.1).
std::vector<Header> ForwardedHeaders(const std::vector<Header>& headers,
                                     const WireNames& names);

}  // namespace hibiscuspick::edge
