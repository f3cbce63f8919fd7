// The messages about allowances between instances, as JSON.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "hibiscuspick/engine/allowance_messages.h"

namespace hibiscuspick::edge {

// Path of these messages at the peers' query address. No caller's request
// arrives there, and a forwarded query carries forwarding headers.
inline constexpr std::string_view kAllowancePath = "/allowance";

// The most accounts in one message, and the longest body that is accepted: with
// names of 20 letters an account takes some 60 bytes.
inline constexpr size_t kMaxAccountsPerMessage = 10000;
inline constexpr size_t kMaxAllowanceBytes = 1 << 20;

std::string EncodeAllowanceRequest(const engine::AllowanceRequest& request);
std::string EncodeAllowanceReply(const engine::AllowanceReply& reply);

// nullopt if the text is malformed or a number is negative or not finite.
std::optional<engine::AllowanceRequest> DecodeAllowanceRequest(
    std::string_view text);
std::optional<engine::AllowanceReply> DecodeAllowanceReply(
    std::string_view text);

}  // namespace hibiscuspick::edge
