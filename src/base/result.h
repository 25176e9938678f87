// Results and errors, carried by Boost.LEAF.
//
// A function that can fail returns Result<T> and reports the cause with Fail(). The caller either
// passes it on (BOOST_LEAF_AUTO / BOOST_LEAF_CHECK) or ends the chain with Resolve(), which gives
// a plain value: LEAF stores error objects only while a handler is in scope.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>
#include <variant>

#include "base/error.h"

namespace copperlead {

template <class T>
using Result = boost::leaf::result<T>;

// One failure: what kind, where (file, row and column, address, setting), and why in plain words.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string place;
  std::string cause;
};

// Reports a failure. Use as `return Fail(ErrorKind::kBadSetting, "--listen", "not an IP:PORT");`
inline boost::leaf::error_id Fail(ErrorKind kind, std::string place, std::string cause) {
  return boost::leaf::new_error(Error{kind, std::move(place), std::move(cause)});
}

// A value or the error that took its place, free of LEAF's scopes.
template <class T>
struct Outcome {
  std::variant<Error, T> content;

  bool ok() const { return content.index() == 1; }
  explicit operator bool() const { return ok(); }
  T& value() { return std::get<1>(content); }
  const T& value() const { return std::get<1>(content); }
  const Error& error() const { return std::get<0>(content); }
};

// Runs `function` (returning Result<T>) and ends its chain of errors.
// @return the value, or the reported Error; kInternal for a failure reported without one.
template <class Function>
auto Resolve(Function&& function) {
  using T = std::decay_t<decltype(std::forward<Function>(function)().value())>;
  using Content = std::variant<Error, T>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        auto result = std::forward<Function>(function)();
        if (!result) return result.error();
        return Outcome<T>{Content(std::in_place_index<1>, std::move(result.value()))};
      },
      [](const Error& error) { return Outcome<T>{Content(std::in_place_index<0>, error)}; },
      [] {
        const Error unnamed{ErrorKind::kInternal, "", "error without a cause"};
        return Outcome<T>{Content(std::in_place_index<0>, unnamed)};
      });
}

// The value of a function that either works or fails; LEAF's result<void> has none to resolve.
struct Done {};

// @return "kind: place: cause", for logs and command lines.
std::string ToString(const Error& error);

}  // namespace copperlead
