#ifndef LAGOONHITCH_SETTINGS_SETTINGS_FAULT_H
#define LAGOONHITCH_SETTINGS_SETTINGS_FAULT_H

/// \file
/// A fault in the settings.

#include <string>

namespace lagoonhitch {

/// A fault in the settings, with the information needed to correct it.
struct SettingsFault {
  /// JSON pointer to the faulty field.
  std::string Path_;
  /// The value found.
  std::string Found_;
  /// The values allowed.
  std::string Allowed_;
  /// How to correct the fault.
  std::string Remedy_;
};

/// Returns a one-line description of a fault.
std::string toString(const SettingsFault &Fault);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_FAULT_H
