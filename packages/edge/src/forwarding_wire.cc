#include "hibiscuspick/edge/forwarding_wire.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::edge {
namespace {

constexpr std::string_view kMediaType = "application/vnd.hibiscuspick.query";

constexpr int kOk = 200;

// Larger than any time in a valid message, in milliseconds.
constexpr double kMaxTime = 1e9;

// The body's first line, and what follows it.
struct Sections {
  Json parameters;
  std::string_view embedded;
};

std::optional<Sections> SplitBody(std::string_view body) {
  const size_t end = body.find('\n');
  if (end == std::string_view::npos || end > kMaxParameterBytes) {
    return std::nullopt;
  }
  auto parsed = ParseJson(body.substr(0, end));
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) return std::nullopt;
  return Sections{std::move(ValueOf(parsed)), body.substr(end + 1)};
}

bool HasMediaType(const std::vector<Header>& headers) {
  return FindHeader(headers, "Content-Type") == kMediaType;
}

// Reads fields of an object. Fields that are missing keep their value; one of
// another type or out of range makes the reader invalid.
class FieldReader {
 public:
  explicit FieldReader(const Json* object) : object_(object) {}
  bool is_valid() const { return is_valid_; }

  void Read(const char* key, bool* value) {
    if (const auto* it = Find(key, it_is_bool)) *value = it->get<bool>();
  }
  void Read(const char* key, std::string* value) {
    const auto* it = Find(key, [](auto& json) { return json.is_string(); });
    if (it != nullptr) *value = it->get<std::string>();
  }
  template <class Integer>
  void ReadInteger(const char* key, Integer* value) {
    const auto* it =
        Find(key, [](auto& json) { return json.is_number_unsigned(); });
    if (it != nullptr) *value = it->template get<Integer>();
  }
  void Read(const char* key, double* value) {
    const auto* it = Find(key, [](auto& json) {
      return json.is_number() &&
             std::abs(json.template get<double>()) < kMaxTime;
    });
    if (it != nullptr) *value = it->get<double>();
  }
  void Read(const char* key, std::vector<double>* values) {
    const auto* it = Find(key, [](auto& json) { return json.is_array(); });
    if (it == nullptr) return;
    for (const auto& item : *it) {
      const bool is_valid =
          item.is_number() && std::abs(item.get<double>()) < kMaxTime;
      if (is_valid) values->push_back(item.get<double>());
      is_valid_ = is_valid_ && is_valid;
    }
  }
  // Indices in any order, each once.
  void Read(const char* key, std::vector<size_t>* values) {
    const auto* it = Find(key, [](auto& json) { return json.is_array(); });
    if (it == nullptr) return;
    for (const auto& item : *it) {
      is_valid_ = is_valid_ && item.is_number_unsigned();
      if (!is_valid_) return;
      values->push_back(item.get<size_t>());
    }
    auto sorted = *values;
    std::sort(sorted.begin(), sorted.end());
    const bool is_unique =
        std::adjacent_find(sorted.begin(), sorted.end()) == sorted.end();
    is_valid_ = is_valid_ && is_unique;
  }
  bool Has(const char* key) const { return object_->contains(key); }

 private:
  static bool it_is_bool(const Json& json) { return json.is_boolean(); }

  template <class Check>
  const Json* Find(const char* key, Check check) {
    const auto it = object_->find(key);
    if (it == object_->end()) return nullptr;
    if (check(*it)) return &*it;
    is_valid_ = false;
    return nullptr;
  }

  const Json* const object_;
  bool is_valid_ = true;
};

void AddUnlessEmpty(Json* object, const char* key, const std::string& value) {
  if (!value.empty()) (*object)[key] = value;
}

void AddUnlessEmpty(Json* object, const char* key,
                    const std::vector<size_t>& value) {
  if (!value.empty()) (*object)[key] = value;
}

bool ReadQuery(const Json& parameters, ForwardedQuery* query) {
  FieldReader reader(&parameters);
  for (const auto* it : {"version", "answer_in_ms", "deadline_in_ms"}) {
    if (!reader.Has(it)) return false;
  }
  reader.ReadInteger("version", &query->config_version);
  reader.Read("answer_in_ms", &query->deadlines.answer_in.count);
  reader.Read("deadline_in_ms", &query->deadlines.deadline_in.count);
  reader.Read("is_retry", &query->deadlines.is_retry);
  std::vector<double> lags;
  reader.Read("lags_ms", &lags);
  if (reader.Has("lags_ms")) {
    engine::LagBounds bounds{};
    if (lags.size() != bounds.size()) return false;
    for (size_t i = 0; i < lags.size(); ++i) bounds[i] = Millis(lags[i]);
    query->deadlines.lags = bounds;
  }
  reader.Read("shards", &query->shard_indices);
  reader.Read("account", &query->account.text);
  reader.Read("remainder", &query->remainder.token);
  reader.ReadInteger("needed", &query->remainder.needed);
  reader.Read("quarantine", &query->quarantine_report);
  return reader.is_valid();
}

bool ReadAnswer(const Json& parameters, PeerAnswer* answer) {
  FieldReader reader(&parameters);
  if (reader.Has("received")) {
    reader.Read("received", &answer->shards.received.emplace());
  }
  reader.Read("exhausted", &answer->shards.exhausted);
  reader.Read("not_run", &answer->shards.not_run);
  reader.Read("refused", &answer->shards.refused);
  reader.Read("open", &answer->open_shards);
  reader.Read("remainder", &answer->remainder_token);
  if (reader.Has("took_ms")) {
    reader.Read("took_ms", &answer->processing_time.emplace().count);
  }
  if (reader.Has("busy")) reader.Read("busy", &answer->utilisation.emplace());
  reader.Read("cut_off", &answer->is_cut_off);
  reader.Read("quarantine", &answer->quarantine_report);
  std::vector<double> refusal;
  reader.Read("refusal_ms", &refusal);
  if (reader.Has("refusal_ms")) {
    // Longer times have no use, and a faulty peer must not block an account.
    constexpr double kMaxRefusal = 60000;
    auto& grant = answer->allowance_refusal.emplace();
    const std::array fields = {&grant.refuse_for, &grant.retry_after,
                               &grant.refused_spacing};
    if (refusal.size() != fields.size()) return false;
    for (size_t i = 0; i < fields.size(); ++i) {
      if (refusal[i] < 0 || refusal[i] > kMaxRefusal) return false;
      fields[i]->count = refusal[i];
    }
  }
  return reader.is_valid();
}

}  // namespace

bool IsPeerMessage(const HttpRequest& request) {
  constexpr std::array<std::string_view, 3> kNames = {"Host", "Content-Type",
                                                      "Content-Length"};
  return request.method == "POST" &&
         std::all_of(
             request.headers.begin(), request.headers.end(), [&](auto& it) {
               return std::any_of(kNames.begin(), kNames.end(), [&](auto name) {
                 return EqualsIgnoreCase(it.name, name);
               });
             });
}

std::string EncodeForwardedQuery(const ForwardedQuery& query,
                                 const HttpRequest& request,
                                 const Address& to) {
  const auto& deadlines = query.deadlines;
  Json parameters = {
      {"version", query.config_version},
      {"answer_in_ms", std::round(deadlines.answer_in.count)},
      {"deadline_in_ms", std::round(deadlines.deadline_in.count)},
      {"is_retry", deadlines.is_retry}};
  if (deadlines.lags) {
    constexpr double kTenth = 10;
    auto& lags = parameters["lags_ms"];
    for (const auto& it : *deadlines.lags) {
      lags.push_back(std::round(it.count * kTenth) / kTenth);
    }
  }
  AddUnlessEmpty(&parameters, "shards", query.shard_indices);
  AddUnlessEmpty(&parameters, "account", query.account.text);
  if (!query.remainder.token.empty()) {
    parameters["remainder"] = query.remainder.token;
    parameters["needed"] = query.remainder.needed;
  }
  AddUnlessEmpty(&parameters, "quarantine", query.quarantine_report);
  HttpRequest message;
  message.method = "POST";
  message.target = kQueryPath;
  message.headers = {{"Host", ToText(to)},
                     {"Content-Type", std::string(kMediaType)}};
  message.body = DumpJson(parameters) + "\n" + ToText(request);
  return ToText(message);
}

std::optional<DecodedQuery> DecodeForwardedQuery(const HttpRequest& message) {
  if (message.target != kQueryPath || !IsPeerMessage(message) ||
      !HasMediaType(message.headers)) {
    return std::nullopt;
  }
  const auto sections = SplitBody(message.body);
  DecodedQuery decoded;
  if (!sections || !ReadQuery(sections->parameters, &decoded.query)) {
    return std::nullopt;
  }
  std::string text(sections->embedded);
  RequestReader reader({text.size() + 1, text.size() + 1});
  if (reader.Read(&text) != ReadState::kDone || !text.empty()) {
    return std::nullopt;
  }
  decoded.request = reader.Take();
  return decoded;
}

HttpReply EncodePeerAnswer(const PeerAnswer& answer, int status) {
  Json parameters = Json::object();
  if (answer.shards.received) parameters["received"] = *answer.shards.received;
  AddUnlessEmpty(&parameters, "exhausted", answer.shards.exhausted);
  AddUnlessEmpty(&parameters, "not_run", answer.shards.not_run);
  AddUnlessEmpty(&parameters, "refused", answer.shards.refused);
  AddUnlessEmpty(&parameters, "open", answer.open_shards);
  AddUnlessEmpty(&parameters, "remainder", answer.remainder_token);
  constexpr double kHundredth = 100;
  const auto rounded = [](double value) {
    return std::round(value * kHundredth) / kHundredth;
  };
  if (answer.processing_time) {
    parameters["took_ms"] = rounded(answer.processing_time->count);
  }
  if (answer.utilisation) parameters["busy"] = rounded(*answer.utilisation);
  if (answer.is_cut_off) parameters["cut_off"] = true;
  AddUnlessEmpty(&parameters, "quarantine", answer.quarantine_report);
  if (const auto& it = answer.allowance_refusal) {
    parameters["refusal_ms"] = {it->refuse_for.count, it->retry_after.count,
                                it->refused_spacing.count};
  }
  HttpReply message;
  message.status = status;
  message.headers = {{"Content-Type", std::string(kMediaType)}};
  message.body = DumpJson(parameters) + "\n";
  if (status == kOk) message.body += ToText(answer.reply, false, false);
  return message;
}

std::optional<PeerAnswer> DecodePeerAnswer(const HttpReply& message) {
  if (!HasMediaType(message.headers)) return std::nullopt;
  const auto sections = SplitBody(message.body);
  PeerAnswer answer;
  if (!sections || !ReadAnswer(sections->parameters, &answer)) {
    return std::nullopt;
  }
  std::string text(sections->embedded);
  if (message.status != kOk) {
    return text.empty() ? std::optional(std::move(answer)) : std::nullopt;
  }
  ReplyReader reader(false, {text.size() + 1, text.size() + 1});
  if (reader.Read(&text) != ReadState::kDone || !text.empty()) {
    return std::nullopt;
  }
  answer.reply = reader.Take();
  return answer;
}

}  // namespace hibiscuspick::edge
