// Error codes and Result<T>, the return type of every fallible function.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace primrosecove {

/// Category of a failure, by what the caller can do about it.
enum class ErrorCode {
  kInvalidArgument,  ///< The input is invalid; a retry cannot succeed.
  kNotFound,         ///< The requested object does not exist.
  kConflict,         ///< A concurrent change to the object was applied first.
  kUnavailable,      ///< The peer is unreachable or temporarily refuses.
  kTimeout,     ///< No response in time; the operation may have taken effect.
  kCorrupt,     ///< The data does not match its digest.
  kPermission,  ///< The peer does not have the shared key.
  kTooLarge,    ///< A size limit would be exceeded.
  kCancelled,   ///< The caller cancelled the operation.
};

/// A failure: a code for programs and a one-line message for operators.
struct Error {
  ErrorCode code = ErrorCode::kUnavailable;
  std::string message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// The value of an operation or its error. Accessing the value of a failed
/// result violates a precondition and terminates the process.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/// Returns a failure that converts to any Result<T>. Thread safe.
inline auto Fail(ErrorCode code, std::string message) {
  return outcome::failure(Error{code, std::move(message)});
}

}  // namespace primrosecove
