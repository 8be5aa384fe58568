#ifndef LAGOONHITCH_SETTINGS_SETTINGS_FAULT_H
#define LAGOONHITCH_SETTINGS_SETTINGS_FAULT_H

/// \file
/// One fault in a settings file.

#include <string>

namespace lagoonhitch {

/// One fault in a settings file, with all that is needed to mend it.
struct SettingsFault {
  /// JSON pointer to the field.
  std::string Path_;
  /// What was found.
  std::string Found_;
  /// What is allowed.
  std::string Allowed_;
  /// What to do.
  std::string Remedy_;
};

/// Formats a fault as one line.
std::string toString(const SettingsFault &Fault);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_FAULT_H
