// Results carry a value or an error and are checked by the caller; nothing on
// the traffic path throws.
#pragma once

#include <string>
#include <utility>
#include <variant>

#include "hibiscuspick/base/code.h"

namespace hibiscuspick {

// What went wrong, where (a JSON path or an address, may be empty), and one
// sentence for a person.
struct Error {
  Code code = Code::kOk;
  std::string place;
  std::string message;
};

// A value of type T, or why there is none.
template <class T>
using Result = std::variant<T, Error>;

// For calls that give nothing back but may fail.
struct Done {};

template <class T>
bool IsOk(const Result<T>& it) {
  return std::holds_alternative<T>(it);
}

// The value; only after IsOk.
template <class T>
T& ValueOf(Result<T>& it) {
  return *std::get_if<T>(&it);
}
template <class T>
const T& ValueOf(const Result<T>& it) {
  return *std::get_if<T>(&it);
}
template <class T>
T ValueOf(Result<T>&& it) {
  return std::move(*std::get_if<T>(&it));
}

// The error; only after IsOk was false.
template <class T>
const Error& ErrorOf(const Result<T>& it) {
  return *std::get_if<Error>(&it);
}

}  // namespace hibiscuspick
