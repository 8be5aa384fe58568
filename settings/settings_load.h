#ifndef LAGOONHITCH_SETTINGS_SETTINGS_LOAD_H
#define LAGOONHITCH_SETTINGS_SETTINGS_LOAD_H

/// \file
/// Loads settings from files.

#include "settings/daemon_settings.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

/// Names the files that settings are merged from; later ones win.
struct SettingsFiles {
  std::string Base_;
  std::string Overlay_;
  std::string Host_;
};

/// Reads and merges the files (RFC 7386); an empty name is left out. Throws
/// SettingsError if a file is missing or is no JSON.
nlohmann::json mergeSettings(const SettingsFiles &Files);

/// Converts checked settings; throws SettingsError with all faults.
DaemonSettings parseSettings(const nlohmann::json &Merged);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_LOAD_H
