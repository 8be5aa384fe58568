#ifndef LAGOONHITCH_MANIFEST_MANIFEST_FINDING_H
#define LAGOONHITCH_MANIFEST_MANIFEST_FINDING_H

/// \file
/// What a check of a manifest finds.

#include <string>

namespace lagoonhitch {

/// One finding of a check of a manifest.
struct ManifestFinding {
  enum class Severity {
    /// Requests would be lost or refused, or the entry has no effect at all.
    Error,
    /// The entry works, but probably not as intended.
    Warning,
  };
  Severity Severity_ = Severity::Error;
  /// The route, service or limit that it is about.
  std::string Place_;
  /// What is wrong, with the values found.
  std::string Message_;
  /// What to change.
  std::string Remedy_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_MANIFEST_FINDING_H
