#ifndef LAGOONHITCH_SETTINGS_SERVICE_SETTINGS_H
#define LAGOONHITCH_SETTINGS_SERVICE_SETTINGS_H

/// \file
/// The settings of a service.

#include "core/grant_method.h"
#include "settings/request_rule.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// The part of a request that contains its key.
enum class KeySource { Path, Header, Query };

/// The settings of a service.
struct ServiceSettings {
  std::string Name_;
  /// Path prefix of the service's requests, such as `/katalog`.
  std::string Prefix_;
  /// Whether the service is sharded by key. Otherwise, any of its upstreams can
  /// handle any request.
  bool Sharded_ = false;
  /// How the upstreams of a sharded service are told which keys they hold.
  GrantMethod GrantMethod_ = GrantMethod::Calls;
  /// Number of shards of a sharded service.
  std::uint32_t ShardCount_ = 0;
  KeySource KeySource_ = KeySource::Path;
  /// Name of the header or query parameter that contains the key.
  std::string KeyName_;
  /// Index of the path segment that contains the key, from 0.
  std::uint32_t KeySegment_ = 0;
  /// Whether the service is available at the daemon's internal address only.
  bool Internal_ = false;
  /// Rules for the service's requests; the first match applies.
  std::vector<RequestRule> Rules_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SERVICE_SETTINGS_H
