#ifndef LAGOONHITCH_SETTINGS_RULE_MATCH_H
#define LAGOONHITCH_SETTINGS_RULE_MATCH_H

/// \file
/// Finds the service, the rule and the key of a request.

#include "settings/daemon_settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// Returns the path of a request target, without query and fragment.
std::string_view pathOf(std::string_view Target);

/// Splits a path into its non-empty segments.
std::vector<std::string_view> splitPath(std::string_view Path);

/// Returns whether a path matches a pattern. See RequestRule for the syntax.
bool matchesPath(std::string_view Pattern, std::string_view Path);

/// Returns whether any path can match both patterns.
bool patternsOverlap(std::string_view First, std::string_view Second);

/// Returns the service whose prefix a request target has, or nullptr if there
/// is none.
const ServiceSettings *findService(const std::vector<ServiceSettings> &Services,
                                   std::string_view Target);

/// Returns the first rule that matches a request. Returns the default rule,
/// which is not idempotent, if no rule matches.
RequestRule findRule(const ServiceSettings &Service, std::string_view Method,
                     std::string_view Target);

/// Returns the key in the path or the query of a request target. Returns
/// std::nullopt if the target has no key or the service's keys are in a header.
std::optional<std::string> keyFromTarget(const ServiceSettings &Service,
                                         std::string_view Target);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_RULE_MATCH_H
