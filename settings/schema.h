#ifndef LAGOONHITCH_SETTINGS_SCHEMA_H
#define LAGOONHITCH_SETTINGS_SCHEMA_H

/// \file
/// The JSON schema of the settings.

namespace lagoonhitch {

/// Returns the JSON schema of the merged settings.
const char *settingsSchema();

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SCHEMA_H
