#ifndef LAGOONHITCH_CORE_ERROR_H
#define LAGOONHITCH_CORE_ERROR_H

/// \file
/// The base class of this project's exceptions.

#include <stdexcept>
#include <string>

namespace lagoonhitch {

/// The kinds of failure; each calls for a different reaction by the caller.
enum class ErrorKind {
  Settings,
  Unavailable,
  Timeout,
  Protocol,
  Refused,
  Internal,
};

/// An error with a message and a remedy for its reader.
class Error : public std::runtime_error {
public:
  /// \param Kind the kind of failure.
  /// \param Message what went wrong.
  /// \param Remedy what the reader can do about it.
  Error(ErrorKind Kind, const std::string &Message, std::string Remedy);

  /// Returns the kind of the failure.
  ErrorKind kind() const { return Kind_; }

  /// Returns what the reader can do about the failure.
  const std::string &remedy() const { return Remedy_; }

private:
  ErrorKind Kind_;
  std::string Remedy_;
};

/// Returns the lower-case name of a kind, as used in logs and HTTP bodies.
const char *errorKindName(ErrorKind Kind);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_ERROR_H
