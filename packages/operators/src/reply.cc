#include "reply.h"

#include <utility>

namespace hibiscuspick::operators {

Reply ErrorReply(int status, Code code, std::string message) {
  if (message.empty()) message = CodeMeaning(code);
  Json error = {{"code", static_cast<int>(code)},
                {"name", CodeName(code)},
                {"message", std::move(message)}};
  return {status, {{"error", std::move(error)}}, ""};
}

Json FaultsJson(const std::vector<settings::Fault>& faults) {
  Json list = Json::array();
  for (const auto& it : faults) {
    list.push_back({{"path", it.place}, {"message", it.message}});
  }
  return list;
}

bool IsLoaded(const settings::Configuration* configuration) {
  return configuration && configuration->loaded;
}

Reply NotReadyReply() {
  return ErrorReply(kStatusUnavailable, Code::kNotReady);
}

Reply FaultsReply(const std::vector<settings::Fault>& faults) {
  Reply reply = ErrorReply(kStatusUnprocessable, Code::kInvalidValue);
  reply.body["faults"] = FaultsJson(faults);
  return reply;
}

}  // namespace hibiscuspick::operators
