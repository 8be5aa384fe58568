#ifndef LAGOONHITCH_SETTINGS_SETTINGS_CHECK_H
#define LAGOONHITCH_SETTINGS_SETTINGS_CHECK_H

/// \file
/// Finds the faults of settings.

#include "settings/settings_fault.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace lagoonhitch {

/// Returns all faults of merged settings: those against the schema, and if
/// there are none, those against the rules that a schema can't express.
std::vector<SettingsFault> checkSettings(const nlohmann::json &Merged);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SETTINGS_CHECK_H
