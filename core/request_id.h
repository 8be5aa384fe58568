#ifndef LAGOONHITCH_CORE_REQUEST_ID_H
#define LAGOONHITCH_CORE_REQUEST_ID_H

/// \file
/// The identifier of one attempt at a request.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Identifies one attempt at a caller's request. Each attempt has its own id,
/// so that its status can be looked up at the daemon that it was sent to. The
/// entry daemon is the one that received the request from the caller.
struct RequestId {
  /// The random number of the entry daemon's process.
  std::uint64_t EntryProcess_ = 0;
  /// The number of the request in that process.
  std::uint64_t Sequence_ = 0;
  /// The number of the attempt at that request, from 1.
  std::uint32_t Attempt_ = 0;

  auto operator<=>(const RequestId &) const = default;
};

/// Formats an id as `process-sequence-attempt`, with the entry daemon's process
/// in hexadecimal and the rest in decimal.
std::string toString(const RequestId &Id);

/// Parses the format of toString(); returns std::nullopt if the text is
/// malformed.
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
