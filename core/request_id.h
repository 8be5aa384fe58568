#ifndef LAGOONHITCH_CORE_REQUEST_ID_H
#define LAGOONHITCH_CORE_REQUEST_ID_H

/// \file
/// The identity of one attempt of one request.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

/// One attempt to run a caller's request. Every attempt that an entry sends
/// carries an id of its own, so that the owner can tell what became of it.
struct RequestId {
  /// The random number of the entry daemon's incarnation.
  std::uint64_t EntryProcess_ = 0;
  /// Counts the requests of that incarnation.
  std::uint64_t Sequence_ = 0;
  /// Counts the attempts of that request, from 1.
  std::uint32_t Attempt_ = 0;

  auto operator<=>(const RequestId &) const = default;
};

/// Formats an id as `entry-sequence-attempt`, entry in hexadecimal.
std::string toString(const RequestId &Id);

/// Parses the format of toString(); returns nothing if the text is malformed.
std::optional<RequestId> parseRequestId(const std::string &Text);

/// Hashes a RequestId for unordered containers.
struct RequestIdHash {
  std::size_t operator()(const RequestId &Id) const {
    return std::hash<std::uint64_t>()(Id.EntryProcess_ ^
                                      (Id.Sequence_ * 0x9E3779B97F4A7C15ULL) ^
                                      Id.Attempt_);
  }
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_REQUEST_ID_H
