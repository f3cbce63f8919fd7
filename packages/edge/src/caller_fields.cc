#include "hibiscuspick/edge/caller_fields.h"

#include <algorithm>

namespace hibiscuspick::edge {
namespace {

constexpr std::string_view kHostHeader = "Host";

}  // namespace

std::string_view DefectName(RequestDefect defect) {
  switch (defect) {
    case RequestDefect::kNone:
      return "none";
    case RequestDefect::kNoRequestId:
      return "no_request_id";
    case RequestDefect::kRepeatedField:
      return "repeated_field";
  }
  return "unknown";
}

RequestDefect CheckCallerFields(const std::vector<Header>& headers,
                                const WireNames& names) {
  for (const std::string_view name :
       {kHostHeader, std::string_view(names.request_id),
        std::string_view(names.deadline)}) {
    const auto n = std::count_if(headers.begin(), headers.end(), [&](auto& it) {
      return EqualsIgnoreCase(it.name, name);
    });
    if (n > 1) return RequestDefect::kRepeatedField;
  }
  return FindHeader(headers, names.request_id).empty()
             ? RequestDefect::kNoRequestId
             : RequestDefect::kNone;
}

std::vector<Header> ForwardedHeaders(const std::vector<Header>& headers,
                                     const WireNames& names) {
  return EndToEndHeaders(headers, {kHostHeader, names.request_id});
}

}  // namespace hibiscuspick::edge
