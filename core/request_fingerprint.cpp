#include "core/request_fingerprint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace lagoonhitch {

RequestFingerprint fingerprintOf(const RequestIdentity &Identity) {
  XXH64_hash_t Hash = 0;
  // Each part's hash depends on those before it, so that no two different
  // splits of the same bytes have the same fingerprint.
  for (const std::string_view Part :
       {Identity.Service_, Identity.CallerService_, Identity.Method_,
        Identity.Target_, Identity.Body_})
    Hash = XXH3_64bits_withSeed(Part.data(), Part.size(), Hash + 1);
  return {Hash};
}

std::string toString(const RequestFingerprint &Fingerprint) {
  return absl::StrCat(absl::Hex(Fingerprint.Value_, absl::kZeroPad16));
}

std::optional<RequestFingerprint> parseFingerprint(const std::string &Text) {
  RequestFingerprint Parsed;
  if (!absl::SimpleHexAtoi(Text, &Parsed.Value_))
    return std::nullopt;
  return Parsed;
}

} // namespace lagoonhitch
