#ifndef LAGOONHITCH_CLI_MANIFEST_COMMAND_H
#define LAGOONHITCH_CLI_MANIFEST_COMMAND_H

/// \file
/// The command `manifest check`.

#include <iosfwd>
#include <string>

namespace lagoonhitch {

/// The arguments of `manifest check`.
struct ManifestCheckArguments {
  /// File with the manifest that is to be published.
  std::string File_;
  /// File with the manifest in force; empty for none.
  std::string InForceFile_;
  /// Whether to print JSON instead of text.
  bool Json_ = false;
};

/// Checks a manifest before it is published and prints what it finds, and what
/// differs from the one in force.
/// \returns the exit code: ExitFailed if there are errors. Throws Error if a
/// file can't be read, or the manifest in force is malformed.
int runManifestCheck(const ManifestCheckArguments &Arguments,
                     std::ostream &Out);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CLI_MANIFEST_COMMAND_H
