#ifndef LAGOONHITCH_SETTINGS_SETTINGS_CHECK_H
#define LAGOONHITCH_SETTINGS_SETTINGS_CHECK_H

/// \file
/// Validates settings.

#include "settings/settings_fault.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace lagoonhitch {

/// Returns all faults in merged settings. The rules that a schema can't express
/// are checked only if the settings match the schema.
std::vector<SettingsFault> checkSettings(const nlohmann::json &Merged);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_CHECK_H
