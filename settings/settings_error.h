#ifndef LAGOONHITCH_SETTINGS_SETTINGS_ERROR_H
#define LAGOONHITCH_SETTINGS_SETTINGS_ERROR_H

/// \file
/// The exception for invalid settings.

#include "core/error.h"
#include "settings/settings_fault.h"

#include <vector>

namespace lagoonhitch {

/// Thrown if settings are invalid or can't be read. Contains all faults.
class SettingsError : public Error {
public:
  explicit SettingsError(std::vector<SettingsFault> Faults);

  /// Returns all faults found.
  const std::vector<SettingsFault> &faults() const { return Faults_; }

private:
  std::vector<SettingsFault> Faults_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_ERROR_H
