#ifndef LAGOONHITCH_SETTINGS_SERVICE_SETTINGS_H
#define LAGOONHITCH_SETTINGS_SERVICE_SETTINGS_H

/// \file
/// One service of a site.

#include "settings/request_rule.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Where the key of a request is read from.
enum class KeySource { Path, Header, Query };

/// One service of a site.
struct ServiceSettings {
  std::string Name_;
  /// First part of the path of its requests, such as `/katalog`.
  std::string Prefix_;
  /// Whether its keys have owners; otherwise any upstream takes any request.
  bool Sharded_ = false;
  std::uint32_t ShardCount_ = 0;
  KeySource KeySource_ = KeySource::Path;
  /// Name of the header or query parameter with the key.
  std::string KeyName_;
  /// Number of the path segment with the key, from 0.
  std::uint32_t KeySegment_ = 0;
  /// Whether callers outside may not use it.
  bool Internal_ = false;
  std::vector<RequestRule> Rules_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SERVICE_SETTINGS_H
