// Every fault of a document at once: an operator who mends one fault per try
// loses time that an incident doesn't have.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hibiscuspick/base/result.h"

namespace hibiscuspick::settings {

// One fault: the code (kInvalidValue, or kMalformedRequest for text that isn't
// JSON), the JSON path ("$.backend_servers[2].address"), one sentence.
using Fault = Error;

// A checked value, or every fault found; the list is then not empty.
template <class T>
using Checked = std::variant<T, std::vector<Fault>>;

template <class T>
bool IsGood(const Checked<T>& it) {
  return std::holds_alternative<T>(it);
}

// The value; only after IsGood.
template <class T>
const T& GoodOf(const Checked<T>& it) {
  return *std::get_if<T>(&it);
}

// The faults, empty if the value is good.
template <class T>
std::vector<Fault> FaultsOf(const Checked<T>& it) {
  const auto* faults = std::get_if<std::vector<Fault>>(&it);
  return faults ? *faults : std::vector<Fault>();
}

// All faults on one line each, "path: sentence".
std::string ToText(const std::vector<Fault>& faults);

}  // namespace hibiscuspick::settings
