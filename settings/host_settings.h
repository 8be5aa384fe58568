#ifndef LAGOONHITCH_SETTINGS_HOST_SETTINGS_H
#define LAGOONHITCH_SETTINGS_HOST_SETTINGS_H

/// \file
/// Reads the settings of a daemon whose configuration lies in the platform's
/// store.

#include "settings/daemon_settings.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

/// Decodes host settings; throws SettingsError with all faults.
DaemonSettings parseHostSettings(const nlohmann::json &Source);

/// Reads the file and decodes it; throws SettingsError.
DaemonSettings loadHostSettings(const std::string &FileName);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_HOST_SETTINGS_H
