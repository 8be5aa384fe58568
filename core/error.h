#ifndef LAGOONHITCH_CORE_ERROR_H
#define LAGOONHITCH_CORE_ERROR_H

/// \file
/// The root of all exceptions thrown by this project.

#include <stdexcept>
#include <string>

namespace lagoonhitch {

/// The typed kinds of failure, one for each way a caller may want to react.
enum class ErrorKind {
  Settings,
  Unavailable,
  Timeout,
  Protocol,
  Refused,
  Internal,
};

/// An error with a message and a remedy for the person who reads it.
class Error : public std::runtime_error {
public:
  /// \param Kind how a caller may react.
  /// \param Message what was found.
  /// \param Remedy what to do about it.
  Error(ErrorKind Kind, const std::string &Message, std::string Remedy);

  /// Returns the kind of the failure.
  ErrorKind kind() const { return Kind_; }

  /// Returns what the reader can do about the failure.
  const std::string &remedy() const { return Remedy_; }

private:
  ErrorKind Kind_;
  std::string Remedy_;
};

/// Returns the lower-case name that is used in logs and HTTP bodies.
const char *errorKindName(ErrorKind Kind);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_ERROR_H
