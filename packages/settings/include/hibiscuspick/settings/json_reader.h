// Reads one JSON object field by field and collects every fault with its
// path, unknown keys included.
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

// The longest name of an instance, service, customer and so on.
inline constexpr size_t kMaxNameLength = 100;

// Whether the text may be a name: letters, digits, '.', '_', '-', at most
// kMaxNameLength, not "." or "..". Names become parts of paths and log lines.
bool IsName(std::string_view text);

struct IntegerRange {
  int64_t least;
  int64_t most;
};

// Every getter notes a fault and gives the fallback (or an empty value) when
// the field is missing without a fallback, of another type or out of range.
class JsonReader {
 public:
  // `value` and `faults` must outlive the reader.
  JsonReader(const Json& value, std::string path, std::vector<Fault>* faults);

  bool Has(const std::string& key) const;
  // The field as it is, nullptr if it is missing.
  const Json* Find(const std::string& key);
  // The field, a fault if it is missing or not an array.
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
  // One of the words; gives its place in the list.
  size_t Choice(const std::string& key, std::span<const std::string_view> words,
                std::optional<size_t> fallback = std::nullopt);

  // Notes a fault of this field.
  void Add(const std::string& key, std::string message);
  // Notes every key that no getter asked for. Called last.
  void RefuseUnknown();

  std::string PathOf(const std::string& key) const { return path_ + "." + key; }

 private:
  const Json& value_;
  const std::string path_;
  std::vector<Fault>* const faults_;
  std::set<std::string> asked_;
};

}  // namespace hibiscuspick::settings
