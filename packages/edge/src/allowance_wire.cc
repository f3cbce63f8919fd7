#include "hibiscuspick/edge/allowance_wire.h"

#include <array>
#include <cmath>
#include <utility>
#include <vector>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::edge {
namespace {

constexpr const char* kAccountsKey = "accounts";
constexpr const char* kLoanKey = "loan";
constexpr const char* kListsKey = "lists";
constexpr const char* kExchangeKind = "exchange";
constexpr const char* kLeaseKind = "lease";

// Bounds on the lists of candidates in one loan; a valid one has a few lists of
// engine::kMaxCountingInstances names.
constexpr size_t kMaxLists = 64;
constexpr size_t kMaxListLength = 64;

// An account is an array: its name, followed by this many numbers.
constexpr size_t kRequestNumbers = 5;
constexpr size_t kReplyNumbers = 6;

template <size_t n>
Json EncodeAccount(const ClientAccountId& account,
                   const std::array<double, n>& numbers) {
  Json entry = Json::array({account.text});
  for (const double it : numbers) entry.push_back(it);
  return entry;
}

std::optional<double> Amount(const Json& value) {
  // Larger than any count of tokens or time in a valid message; the sum of a
  // message's amounts stays finite and precise.
  constexpr double kMaxAmount = 1e12;
  if (!value.is_number()) return std::nullopt;
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > kMaxAmount) {
    return std::nullopt;
  }
  return number;
}

std::optional<uint64_t> WholeNumber(const Json& value) {
  if (!value.is_number_unsigned()) return std::nullopt;
  return value.get<uint64_t>();
}

std::optional<std::string> NonEmptyText(const Json& value) {
  if (!value.is_string()) return std::nullopt;
  auto text = value.get<std::string>();
  if (text.empty()) return std::nullopt;
  return text;
}

// The field of the object; null if it is missing or `object` isn't one.
const Json& FieldOf(const Json& object, const char* key) {
  static const Json missing;
  if (!object.is_object()) return missing;
  const auto found = object.find(key);
  return found == object.end() ? missing : *found;
}

// Calls `add` with each account of the message; false if one is malformed.
template <size_t n, class Add>
bool DecodeAccounts(const Json& message, Add add) {
  const Json& accounts = FieldOf(message, kAccountsKey);
  if (!accounts.is_array() || accounts.size() > kMaxAccountsPerMessage) {
    return false;
  }
  for (const auto& entry : accounts) {
    if (!entry.is_array() || entry.size() != 1 + n) return false;
    auto name = NonEmptyText(entry[0]);
    if (!name) return false;
    std::array<double, n> numbers{};
    for (size_t i = 0; i < n; ++i) {
      const auto number = Amount(entry[i + 1]);
      if (!number) return false;
      numbers.at(i) = *number;
    }
    add(ClientAccountId(std::move(*name)), numbers);
  }
  return true;
}

Json EncodeClock(const engine::ClockReading& clock) {
  return Json::array({clock.process, clock.at.count});
}

std::optional<engine::ClockReading> DecodeClock(const Json& value) {
  if (!value.is_array() || value.size() != 2) return std::nullopt;
  const auto process = WholeNumber(value[0]);
  const auto at = Amount(value[1]);
  if (!process || !at) return std::nullopt;
  return engine::ClockReading{*process, Millis(*at)};
}

Json EncodeLoan(const engine::ShareLoan& loan) {
  Json lists = Json::array();
  for (const auto& list : loan.candidate_lists) {
    Json names = Json::array();
    for (const auto& it : list) names.push_back(it.text);
    lists.push_back(std::move(names));
  }
  return {{"echo", EncodeClock(loan.echo)},
          {"instances", loan.instances},
          {kListsKey, std::move(lists)}};
}

std::optional<std::vector<InstanceId>> DecodeList(const Json& value) {
  if (!value.is_array() || value.size() > kMaxListLength) return std::nullopt;
  std::vector<InstanceId> list;
  for (const auto& it : value) {
    auto name = NonEmptyText(it);
    if (!name) return std::nullopt;
    list.emplace_back(std::move(*name));
  }
  return list;
}

std::optional<engine::ShareLoan> DecodeLoan(const Json& value) {
  // An instance list is never as long; it also keeps the sum of shares exact.
  constexpr uint64_t kMaxInstances = 1000000;
  const auto echo = DecodeClock(FieldOf(value, "echo"));
  const auto instances = WholeNumber(FieldOf(value, "instances"));
  const Json& lists = FieldOf(value, kListsKey);
  if (!echo || !instances || *instances > kMaxInstances || !lists.is_array() ||
      lists.size() > kMaxLists) {
    return std::nullopt;
  }
  engine::ShareLoan loan;
  loan.echo = *echo;
  loan.instances = static_cast<uint32_t>(*instances);
  for (const auto& it : lists) {
    auto list = DecodeList(it);
    if (!list) return std::nullopt;
    loan.candidate_lists.push_back(std::move(*list));
  }
  return loan;
}

std::optional<engine::AllowanceMessageKind> DecodeKind(const Json& value) {
  if (value == kLeaseKind) return engine::AllowanceMessageKind::kLease;
  if (value == kExchangeKind) return engine::AllowanceMessageKind::kExchange;
  return std::nullopt;
}

}  // namespace

std::string EncodeAllowanceRequest(const engine::AllowanceRequest& request) {
  Json accounts = Json::array();
  for (const auto& it : request.accounts) {
    accounts.push_back(EncodeAccount<kRequestNumbers>(
        it.account,
        {it.wanted, it.for_retries, it.ahead, it.returned, it.arrivals}));
  }
  const bool is_lease = request.kind == engine::AllowanceMessageKind::kLease;
  return DumpJson({{"kind", is_lease ? kLeaseKind : kExchangeKind},
                   {"from", request.from.text},
                   {"data_centre", request.data_centre.text},
                   {"process", request.process},
                   {"sequence", request.sequence},
                   {"version", request.config_version},
                   {kLoanKey, EncodeLoan(request.loan)},
                   {kAccountsKey, std::move(accounts)}});
}

std::string EncodeAllowanceReply(const engine::AllowanceReply& reply) {
  Json accounts = Json::array();
  for (const auto& it : reply.accounts) {
    accounts.push_back(EncodeAccount<kReplyNumbers>(
        it.account, {it.tokens, it.ask_again.count, it.retry_after.count,
                     it.retry_spacing.count, it.refuse_for.count,
                     it.refused_spacing.count}));
  }
  return DumpJson({{"clock", EncodeClock(reply.clock)},
                   {kAccountsKey, std::move(accounts)}});
}

std::optional<engine::AllowanceRequest> DecodeAllowanceRequest(
    std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!IsOk(parsed)) return std::nullopt;
  const Json& message = ValueOf(parsed);
  const auto kind = DecodeKind(FieldOf(message, "kind"));
  auto from = NonEmptyText(FieldOf(message, "from"));
  auto data_centre = NonEmptyText(FieldOf(message, "data_centre"));
  const auto process = WholeNumber(FieldOf(message, "process"));
  const auto sequence = WholeNumber(FieldOf(message, "sequence"));
  const auto version = WholeNumber(FieldOf(message, "version"));
  auto loan = DecodeLoan(FieldOf(message, kLoanKey));
  if (!kind || !from || !data_centre || !process || !sequence || !version ||
      !loan) {
    return std::nullopt;
  }
  engine::AllowanceRequest request;
  request.kind = *kind;
  request.from = InstanceId(std::move(*from));
  request.data_centre = DataCentreId(std::move(*data_centre));
  request.process = *process;
  request.sequence = *sequence;
  request.config_version = *version;
  request.loan = std::move(*loan);
  const bool valid = DecodeAccounts<kRequestNumbers>(
      message, [&](auto account, const auto& numbers) {
        const auto [wanted, for_retries, ahead, returned, arrivals] = numbers;
        request.accounts.push_back({std::move(account), wanted, for_retries,
                                    ahead, returned, arrivals});
      });
  if (!valid) return std::nullopt;
  return request;
}

std::optional<engine::AllowanceReply> DecodeAllowanceReply(
    std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!IsOk(parsed)) return std::nullopt;
  const auto clock = DecodeClock(FieldOf(ValueOf(parsed), "clock"));
  if (!clock) return std::nullopt;
  engine::AllowanceReply reply;
  reply.clock = *clock;
  const bool valid = DecodeAccounts<kReplyNumbers>(
      ValueOf(parsed), [&](auto account, const auto& numbers) {
        const auto [tokens, ask_again, retry_after, spacing, refuse_for,
                    refused_spacing] = numbers;
        reply.accounts.push_back({std::move(account), tokens, Millis(ask_again),
                                  Millis(retry_after), Millis(spacing),
                                  Millis(refuse_for), Millis(refused_spacing)});
      });
  if (!valid) return std::nullopt;
  return reply;
}

}  // namespace hibiscuspick::edge
