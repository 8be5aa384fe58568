#ifndef LAGOONHITCH_CORE_REQUEST_FINGERPRINT_H
#define LAGOONHITCH_CORE_REQUEST_FINGERPRINT_H

/// \file
/// Recognises requests that are the same to an upstream.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonhitch {

/// A hash of all parts by which requests differ for an upstream. Repetitions of
/// a request have the same fingerprint, whoever sends them.
struct RequestFingerprint {
  std::uint64_t Value_ = 0;

  auto operator<=>(const RequestFingerprint &) const = default;
};

/// The parts of a request that its fingerprint covers.
struct RequestIdentity {
  std::string_view Service_;
  /// The service from whose host the request comes.
  std::string_view CallerService_;
  std::string_view Method_;
  /// Path and query.
  std::string_view Target_;
  std::string_view Body_;
};

/// Returns the fingerprint of a request.
RequestFingerprint fingerprintOf(const RequestIdentity &Identity);

/// Formats a fingerprint as hexadecimal number.
std::string toString(const RequestFingerprint &Fingerprint);

/// Parses the format of toString(); returns std::nullopt if it is malformed.
std::optional<RequestFingerprint> parseFingerprint(const std::string &Text);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_REQUEST_FINGERPRINT_H
