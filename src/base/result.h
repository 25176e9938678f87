// Results and errors, based on Boost.LEAF.
//
// A function that can fail returns Result<T> and reports the error with Fail(). The caller either
// propagates it (BOOST_LEAF_AUTO / BOOST_LEAF_CHECK) or handles it with Resolve(), which returns a
// plain Outcome. LEAF keeps error objects only while an error handler is in scope.
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

// A failure: its kind, its place (file, row and column, address or setting) and its cause in words.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string place;
  std::string cause;
};

// Reports a failure. Usage: `return Fail(ErrorKind::kBadSetting, "--listen", "not an IP:PORT");`
inline boost::leaf::error_id Fail(ErrorKind kind, std::string place, std::string cause) {
  return boost::leaf::new_error(Error{kind, std::move(place), std::move(cause)});
}

// Holds either a value or an error, and can be used outside of LEAF's error handling scopes.
template <class T>
struct Outcome {
  std::variant<Error, T> content;

  bool ok() const { return content.index() == 1; }
  explicit operator bool() const { return ok(); }
  T& value() { return std::get<1>(content); }
  const T& value() const { return std::get<1>(content); }
  const Error& error() const { return std::get<0>(content); }
};

// Calls `function`, which returns a Result<T>, and handles its error.
// @return the value or the reported Error; kInternal for a failure that was reported without one.
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
        const Error unspecified{ErrorKind::kInternal, "", "error without a cause"};
        return Outcome<T>{Content(std::in_place_index<0>, unspecified)};
      });
}

// The value type of a function that succeeds without a value. Resolve() needs a value, which
// LEAF's result<void> lacks.
struct Done {};

// @return "kind: place: cause" without the parts that are empty, for logs and command line output.
std::string ToString(const Error& error);

}  // namespace copperlead
