#ifndef LAGOONHITCH_SETTINGS_HOST_SETTINGS_H
#define LAGOONHITCH_SETTINGS_HOST_SETTINGS_H

/// \file
/// Reads the host settings of a daemon whose configuration is in the platform's
/// store.

#include "settings/daemon_settings.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

/// Parses host settings. Throws SettingsError with all faults.
DaemonSettings parseHostSettings(const nlohmann::json &Source);

/// Reads and parses a file of host settings. Throws SettingsError with all
/// faults, or if the file is missing or is not valid JSON.
DaemonSettings loadHostSettings(const std::string &FileName);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_HOST_SETTINGS_H
