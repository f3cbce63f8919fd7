#include "hibiscuspick/standins/backend_settings.h"

#include <array>
#include <functional>
#include <map>
#include <string_view>

namespace hibiscuspick::standins {
namespace {

constexpr std::array<std::string_view, 3> kDistributionNames = {
    "fixed", "exponential", "lognormal"};

// Reads one key's value into the settings; false if it is not of its type.
using Reader = std::function<bool(BackendSettings*, const Json&)>;

bool ReadCount(const Json& value, size_t* out) {
  if (!value.is_number_unsigned()) return false;
  *out = value.get<size_t>();
  return true;
}

bool ReadAmount(const Json& value, double* out) {
  if (!value.is_number() || value.get<double>() < 0) return false;
  *out = value.get<double>();
  return true;
}

bool ReadFlag(const Json& value, bool* out) {
  if (!value.is_boolean()) return false;
  *out = value.get<bool>();
  return true;
}

bool ReadDistribution(const Json& value, Distribution* out) {
  for (size_t i = 0; i < kDistributionNames.size(); ++i) {
    if (value != kDistributionNames[i]) continue;
    *out = static_cast<Distribution>(i);
    return true;
  }
  return false;
}

bool ReadHeld(const Json& value, std::vector<uint64_t>* out) {
  if (!value.is_array()) return false;
  std::vector<uint64_t> held;
  for (const Json& it : value) {
    if (!it.is_number_unsigned()) return false;
    held.push_back(it.get<uint64_t>());
  }
  *out = held;
  return true;
}

bool ReadFault(const Json& value, ReplyFault* out) {
  if (!value.is_object()) return false;
  for (const auto& [key, it] : value.items()) {
    bool good = false;
    if (key == "kind" && it.is_string()) {
      const auto kind = ParseFaultKind(it.get<std::string>());
      good = kind.has_value();
      out->kind = kind.value_or(out->kind);
    } else if (key == "probability") {
      good = ReadAmount(it, &out->probability);
    } else if (key == "count") {
      good = ReadCount(it, &out->left);
    } else if (key == "shard" && it.is_string()) {
      good = true;
      out->shard = it.get<std::string>();
    } else if (key == "delay_ms") {
      good = ReadAmount(it, &out->delay.count);
    }
    if (!good) return false;
  }
  return value.contains("kind");
}

bool ReadFaultList(const Json& value, std::vector<ReplyFault>* out) {
  if (!value.is_array()) return false;
  std::vector<ReplyFault> faults;
  for (const Json& it : value) {
    if (!ReadFault(it, &faults.emplace_back())) return false;
  }
  *out = faults;
  return true;
}

bool ReadReportedLoad(const Json& value, std::optional<uint64_t>* out) {
  if (!value.is_null() && !value.is_number_unsigned()) return false;
  *out = value.is_null() ? std::nullopt
                         : std::optional<uint64_t>(value.get<uint64_t>());
  return true;
}

const std::map<std::string_view, Reader>& Readers() {
  static const std::map<std::string_view, Reader> readers = {
      {"slots", [](auto* s, const Json& v) { return ReadCount(v, &s->slots); }},
      {"max_queue",
       [](auto* s, const Json& v) { return ReadCount(v, &s->max_queue); }},
      {"max_connections",
       [](auto* s, const Json& v) {
         return ReadCount(v, &s->max_connections);
       }},
      {"connection_setup_ms",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->connection_setup.count);
       }},
      {"distribution",
       [](auto* s, const Json& v) {
         return ReadDistribution(v, &s->service_time.distribution);
       }},
      {"service_ms",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.mean.count);
       }},
      {"sigma",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.sigma);
       }},
      {"straggler_probability",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.straggler_probability);
       }},
      {"straggler_factor",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.straggler_factor);
       }},
      {"slow_factor",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.slow_factor);
       }},
      {"cold_factor",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.cold_factor);
       }},
      {"cold_ms",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->service_time.cold_span.count);
       }},
      {"held", [](auto* s, const Json& v) { return ReadHeld(v, &s->held); }},
      {"documents",
       [](auto* s, const Json& v) { return ReadCount(v, &s->documents); }},
      {"draining",
       [](auto* s, const Json& v) { return ReadFlag(v, &s->draining); }},
      {"shedding",
       [](auto* s, const Json& v) { return ReadFlag(v, &s->shedding); }},
      {"tells_incarnation",
       [](auto* s, const Json& v) {
         return ReadFlag(v, &s->tells_incarnation);
       }},
      {"reported_load",
       [](auto* s, const Json& v) {
         return ReadReportedLoad(v, &s->reported_load);
       }},
      {"load_lag_ms",
       [](auto* s, const Json& v) {
         return ReadAmount(v, &s->load_lag.count);
       }},
      {"faults",
       [](auto* s, const Json& v) { return ReadFaultList(v, &s->faults); }},
  };
  return readers;
}

Json FaultJson(const ReplyFault& fault) {
  Json value = {{"kind", FaultName(fault.kind)},
                {"probability", fault.probability},
                {"shard", fault.shard},
                {"delay_ms", fault.delay.count}};
  if (fault.left != UINT64_MAX) value["count"] = fault.left;
  return value;
}

}  // namespace

Result<Done> PatchSettings(BackendSettings* settings, const Json& patch) {
  if (!patch.is_object()) {
    return Error{Code::kInvalidValue, "$", "an object is wanted"};
  }
  BackendSettings changed = *settings;
  for (const auto& [key, value] : patch.items()) {
    const auto it = Readers().find(key);
    if (it == Readers().end()) {
      return Error{Code::kInvalidValue, key, "no such key"};
    }
    if (!it->second(&changed, value)) {
      return Error{Code::kInvalidValue, key, "not a value for this key"};
    }
  }
  *settings = changed;
  return Done{};
}

Json SettingsJson(const BackendSettings& settings) {
  const ServiceTime& time = settings.service_time;
  const auto distribution = static_cast<size_t>(time.distribution);
  Json faults = Json::array();
  for (const ReplyFault& it : settings.faults) faults.push_back(FaultJson(it));
  Json value = {{"slots", settings.slots},
                {"max_queue", settings.max_queue},
                {"max_connections", settings.max_connections},
                {"connection_setup_ms", settings.connection_setup.count},
                {"distribution", kDistributionNames[distribution]},
                {"service_ms", time.mean.count},
                {"sigma", time.sigma},
                {"straggler_probability", time.straggler_probability},
                {"straggler_factor", time.straggler_factor},
                {"slow_factor", time.slow_factor},
                {"cold_factor", time.cold_factor},
                {"cold_ms", time.cold_span.count},
                {"held", settings.held},
                {"documents", settings.documents},
                {"draining", settings.draining},
                {"shedding", settings.shedding},
                {"tells_incarnation", settings.tells_incarnation},
                {"load_lag_ms", settings.load_lag.count},
                {"faults", faults}};
  value["reported_load"] =
      settings.reported_load ? Json(*settings.reported_load) : Json(nullptr);
  return value;
}

}  // namespace hibiscuspick::standins
