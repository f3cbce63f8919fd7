#include "hibiscuspick/settings/json_reader.h"

#include <algorithm>
#include <utility>

namespace hibiscuspick::settings {
namespace {

const Json& EmptyArray() {
  static const Json value = Json::array();
  return value;
}

bool IsNameCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '.' || c == '_' || c == '-';
}

// Whether the number fits into int64_t; reading a larger one would wrap around.
bool IsInteger(const Json& value) {
  if (!value.is_number_integer()) return false;
  return !value.is_number_unsigned() || value.get<uint64_t>() <= INT64_MAX;
}

}  // namespace

std::string ToText(const std::vector<Fault>& faults) {
  std::string text;
  for (const auto& it : faults) {
    text += it.place + ": " + it.message + "\n";
  }
  return text;
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  if (text == "." || text == "..") return false;
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

JsonReader::JsonReader(const Json& value, std::string path,
                       std::vector<Fault>* faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
  if (!value.is_object()) {
    faults->push_back({Code::kInvalidValue, path_, "must be an object"});
  }
}

bool JsonReader::Has(const std::string& key) const {
  return value_.is_object() && value_.contains(key);
}

const Json* JsonReader::Find(const std::string& key) {
  requested_keys_.insert(key);
  if (!value_.is_object()) return nullptr;
  const auto it = value_.find(key);
  return it == value_.end() ? nullptr : &*it;
}

const Json& JsonReader::Array(const std::string& key) {
  const Json* field = Find(key);
  if (field && field->is_array()) return *field;
  AddFault(key, field ? "must be an array" : "is missing");
  return EmptyArray();
}

std::string JsonReader::Text(const std::string& key,
                             const std::optional<std::string>& fallback) {
  const Json* field = Find(key);
  if (!field) {
    if (!fallback) AddFault(key, "is missing");
    return fallback.value_or("");
  }
  if (!field->is_string()) {
    AddFault(key, "must be a string");
    return fallback.value_or("");
  }
  return field->get<std::string>();
}

std::string JsonReader::NameText(const std::string& key,
                                 const std::optional<std::string>& fallback) {
  const size_t before = faults_->size();
  std::string text = Text(key, fallback);
  if (faults_->size() == before && Has(key) && !IsName(text)) {
    AddFault(key,
             "must be a name: at most 100 letters, digits, '.', '_' "
             "or '-'");
  }
  return text;
}

int64_t JsonReader::Integer(const std::string& key, IntegerRange range,
                            std::optional<int64_t> fallback) {
  const Json* field = Find(key);
  if (!field) {
    if (!fallback) AddFault(key, "is missing");
    return fallback.value_or(range.min);
  }
  if (IsInteger(*field)) {
    const auto n = field->get<int64_t>();
    if (n >= range.min && n <= range.max) return n;
  }
  AddFault(key, "must be a whole number from " + std::to_string(range.min) +
                    " to " + std::to_string(range.max));
  return fallback.value_or(range.min);
}

bool JsonReader::Flag(const std::string& key, bool fallback) {
  const Json* field = Find(key);
  if (!field) return fallback;
  if (field->is_boolean()) return field->get<bool>();
  AddFault(key, "must be true or false");
  return fallback;
}

Address JsonReader::IpAddress(const std::string& key) {
  const size_t before = faults_->size();
  const std::string text = Text(key);
  if (faults_->size() != before) return {};
  const auto result = ParseAddress(text);
  if (IsOk(result)) return ValueOf(result);
  AddFault(key, ErrorOf(result).message);
  return {};
}

size_t JsonReader::Choice(const std::string& key,
                          std::span<const std::string_view> words,
                          std::optional<size_t> fallback) {
  const Json* field = Find(key);
  if (!field) {
    if (!fallback) AddFault(key, "is missing");
    return fallback.value_or(0);
  }
  std::string all;
  for (size_t i = 0; i < words.size(); ++i) {
    if (*field == words[i]) return i;
    all += (i == 0 ? "" : ", ") + std::string(words[i]);
  }
  AddFault(key, "must be one of: " + all);
  return fallback.value_or(0);
}

void JsonReader::AddFault(const std::string& key, std::string message) {
  faults_->push_back({Code::kInvalidValue, PathOf(key), std::move(message)});
}

void JsonReader::RejectUnknownKeys() {
  if (!value_.is_object()) return;
  for (const auto& [key, field] : value_.items()) {
    if (!requested_keys_.contains(key)) AddFault(key, "is not a known key");
  }
}

}  // namespace hibiscuspick::settings
