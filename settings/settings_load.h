#ifndef LAGOONHITCH_SETTINGS_SETTINGS_LOAD_H
#define LAGOONHITCH_SETTINGS_SETTINGS_LOAD_H

/// \file
/// Loads settings from JSON files.

#include "settings/daemon_settings.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

/// Names of the files that settings are merged from. Fields of a later file
/// replace those of an earlier one.
struct SettingsFiles {
  std::string Base_;
  std::string Overlay_;
  std::string Host_;
};

/// Reads the files and merges them with JSON merge patch (RFC 7386). Overlay
/// and host file are skipped if their names are empty. Throws SettingsError if
/// a file is missing or is not valid JSON.
nlohmann::json mergeSettings(const SettingsFiles &Files);

/// Validates and parses merged settings. Throws SettingsError with all faults.
DaemonSettings parseSettings(const nlohmann::json &Merged);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_LOAD_H
