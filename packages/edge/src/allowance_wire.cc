#include "hibiscuspick/edge/allowance_wire.h"

#include <array>
#include <cmath>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::edge {
namespace {

// An account is an array: its name, followed by this many numbers.
constexpr size_t kNumbersPerAccount = 3;
using AccountNumbers = std::array<double, kNumbersPerAccount>;

constexpr std::string_view kAccountsKey = "accounts";

Json EncodeAccount(const ClientAccountId& account,
                   const AccountNumbers& numbers) {
  Json entry = Json::array({account.text});
  for (const double it : numbers) entry.push_back(it);
  return entry;
}

bool IsAmount(const Json& value) {
  // Larger than any count of tokens or time in a valid message; the sum of a
  // message's amounts stays exact.
  constexpr double kMaxAmount = 1e12;
  if (!value.is_number()) return false;
  const double number = value.get<double>();
  return std::isfinite(number) && number >= 0 && number <= kMaxAmount;
}

// Calls `add` with each account of the message; false if one is malformed.
template <class Add>
bool DecodeAccounts(const Json& message, Add add) {
  const auto found = message.find(kAccountsKey);
  if (found == message.end() || !found->is_array() ||
      found->size() > kMaxAccountsPerMessage) {
    return false;
  }
  for (const auto& entry : *found) {
    if (!entry.is_array() || entry.size() != 1 + kNumbersPerAccount ||
        !entry[0].is_string() || entry[0].get_ref<const std::string&>().empty())
      return false;
    AccountNumbers numbers{};
    for (size_t i = 0; i < kNumbersPerAccount; ++i) {
      if (!IsAmount(entry[i + 1])) return false;
      numbers[i] = entry[i + 1].get<double>();
    }
    add(ClientAccountId(entry[0].get<std::string>()), numbers);
  }
  return true;
}

std::optional<Json> ParseObject(std::string_view text) {
  auto parsed = ParseJson(text);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) return std::nullopt;
  return std::move(ValueOf(parsed));
}

// A non-empty text of the object; nullopt if there is none.
std::optional<std::string> TextIn(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  auto text = found->get<std::string>();
  if (text.empty()) return std::nullopt;
  return text;
}

}  // namespace

std::string EncodeAllowanceRequest(const engine::AllowanceRequest& request) {
  Json accounts = Json::array();
  for (const auto& it : request.accounts) {
    accounts.push_back(
        EncodeAccount(it.account, {it.wanted, it.for_retries, it.returned}));
  }
  return DumpJson({{"from", request.from.text},
                   {"data_centre", request.data_centre.text},
                   {"version", request.config_version},
                   {kAccountsKey, std::move(accounts)}});
}

std::string EncodeAllowanceReply(const engine::AllowanceReply& reply) {
  Json accounts = Json::array();
  for (const auto& it : reply.accounts) {
    accounts.push_back(EncodeAccount(
        it.account,
        {it.tokens, it.retry_after.count, it.retry_spacing.count}));
  }
  return DumpJson({{kAccountsKey, std::move(accounts)}});
}

std::optional<engine::AllowanceRequest> DecodeAllowanceRequest(
    std::string_view text) {
  const auto message = ParseObject(text);
  if (!message) return std::nullopt;
  auto from = TextIn(*message, "from");
  auto data_centre = TextIn(*message, "data_centre");
  const auto version = message->find("version");
  if (!from || !data_centre || version == message->end() ||
      !version->is_number_unsigned()) {
    return std::nullopt;
  }
  engine::AllowanceRequest request;
  request.from = InstanceId(std::move(*from));
  request.data_centre = DataCentreId(std::move(*data_centre));
  request.config_version = version->get<uint64_t>();
  const bool valid =
      DecodeAccounts(*message, [&](auto account, const auto& numbers) {
        request.accounts.push_back(
            {std::move(account), numbers[0], numbers[1], numbers[2]});
      });
  if (!valid) return std::nullopt;
  return request;
}

std::optional<engine::AllowanceReply> DecodeAllowanceReply(
    std::string_view text) {
  const auto message = ParseObject(text);
  if (!message) return std::nullopt;
  engine::AllowanceReply reply;
  const bool valid =
      DecodeAccounts(*message, [&](auto account, const auto& numbers) {
        reply.accounts.push_back({std::move(account), numbers[0],
                                  Millis(numbers[1]), Millis(numbers[2])});
      });
  if (!valid) return std::nullopt;
  return reply;
}

}  // namespace hibiscuspick::edge
