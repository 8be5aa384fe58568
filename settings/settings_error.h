#ifndef LAGOONHITCH_SETTINGS_SETTINGS_ERROR_H
#define LAGOONHITCH_SETTINGS_SETTINGS_ERROR_H

/// \file
/// Thrown when settings can't be used.

#include "core/error.h"
#include "settings/settings_fault.h"

#include <vector>

namespace lagoonhitch {

/// Thrown when settings can't be used; carries all faults at once.
class SettingsError : public Error {
public:
  explicit SettingsError(std::vector<SettingsFault> Faults);

  /// Returns all faults that were found.
  const std::vector<SettingsFault> &faults() const { return Faults_; }

private:
  std::vector<SettingsFault> Faults_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_ERROR_H
