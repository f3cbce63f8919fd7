// Reads the fields of one JSON object and collects a fault with its path for
// each invalid, missing or unknown one.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/settings/faults.h"

namespace hibiscuspick::settings {

// The maximum length of a name of an instance, service, customer etc.
inline constexpr size_t kMaxNameLength = 100;

// Whether the text is a valid name: letters, digits, '.', '_' and '-', at most
// kMaxNameLength, not "." or "..". Names become parts of paths and log lines.
bool IsName(std::string_view text);

struct IntegerRange {
  int64_t min;
  int64_t max;
};

// A getter records a fault and returns the fallback (or an empty value) if the
// field is missing and has no fallback, has the wrong type or is out of range.
class JsonReader {
 public:
  // `value` and `faults` must outlive the reader.
  JsonReader(const Json& value, std::string path, std::vector<Fault>* faults);

  bool Has(const std::string& key) const;
  // The raw field; nullptr if it is missing.
  const Json* Find(const std::string& key);
  // The field; records a fault if it is missing or not an array.
  const Json& Array(const std::string& key);

  std::string Text(const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);
  std::string NameText(
      const std::string& key,
      const std::optional<std::string>& fallback = std::nullopt);
  int64_t Integer(const std::string& key, IntegerRange range,
                  std::optional<int64_t> fallback = std::nullopt);
  bool Flag(const std::string& key, bool fallback);
  Address IpAddress(const std::string& key);
  // The field's index in `words`.
  size_t Choice(const std::string& key, std::span<const std::string_view> words,
                std::optional<size_t> fallback = std::nullopt);

  // Records a fault for the field.
  void AddFault(const std::string& key, std::string message);
  // Records a fault for every key that was not read before. Must be called
  // last.
  void RejectUnknownKeys();

  std::string PathOf(const std::string& key) const { return path_ + "." + key; }

 private:
  const Json& value_;
  const std::string path_;
  std::vector<Fault>* const faults_;
  std::set<std::string> requested_keys_;
};

}  // namespace hibiscuspick::settings
