#ifndef LAGOONHITCH_SETTINGS_RULE_MATCH_H
#define LAGOONHITCH_SETTINGS_RULE_MATCH_H

/// \file
/// Finds the service, rule and key of a request.

#include "settings/daemon_settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// Returns the path of a request target, without its query.
std::string_view pathOf(std::string_view Target);

/// Splits a path into its segments.
std::vector<std::string_view> splitPath(std::string_view Path);

/// Returns whether a path matches a pattern.
bool matchesPath(std::string_view Pattern, std::string_view Path);

/// Returns whether some path matches both patterns.
bool patternsOverlap(std::string_view First, std::string_view Second);

/// Returns the service that a request target belongs to, or nullptr.
const ServiceSettings *findService(const std::vector<ServiceSettings> &Services,
                                   std::string_view Target);

/// Returns the rule of a request; where none is set, a request is executed
/// once.
RequestRule findRule(const ServiceSettings &Service, std::string_view Method,
                     std::string_view Target);

/// Returns the key from the path or the query of a target; nothing if there
/// is none or if it is in a header.
std::optional<std::string> keyFromTarget(const ServiceSettings &Service,
                                         std::string_view Target);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_RULE_MATCH_H
