// Builds the API's replies.
#pragma once

#include <string>
#include <vector>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/faults.h"

namespace hibiscuspick::operators {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusMethodNotAllowed = 405;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusPreconditionRequired = 428;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// {"error": {"code", "name", "message"}}; the default message is the meaning of
// the code.
Reply ErrorReply(int status, Code code, std::string message = "");

// [{"path", "message"}].
Json FaultsJson(const std::vector<settings::Fault>& faults);

// Whether the instance has loaded a configuration.
bool IsLoaded(const settings::Configuration* configuration);

// 503, for an instance that has not loaded a configuration yet.
Reply NotReadyReply();

// 422 with all faults.
Reply FaultsReply(const std::vector<settings::Fault>& faults);

}  // namespace hibiscuspick::operators
