// Validation results that list all faults of a document at once, so that an
// operator can correct them in one round.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/result.h"

namespace hibiscuspick::settings {

// A validation fault: the code (kInvalidValue, or kMalformedRequest for text
// that isn't JSON), the JSON path ("$.backend_servers[2].address") and a
// message.
using Fault = Error;

// A validated value, or a non-empty list of faults.
template <class T>
using Checked = std::variant<T, std::vector<Fault>>;

template <class T>
bool IsValid(const Checked<T>& it) {
  return std::holds_alternative<T>(it);
}

// The value; requires IsValid.
template <class T>
const T& ValidValue(const Checked<T>& it) {
  return *std::get_if<T>(&it);
}

// The faults; empty if the value is valid.
template <class T>
std::vector<Fault> FaultsOf(const Checked<T>& it) {
  const auto* faults = std::get_if<std::vector<Fault>>(&it);
  return faults ? *faults : std::vector<Fault>();
}

// One line for each fault: "path: message".
std::string ToText(const std::vector<Fault>& faults);

}  // namespace hibiscuspick::settings
