#ifndef LAGOONHITCH_DAEMON_FORWARDED_REQUEST_H
#define LAGOONHITCH_DAEMON_FORWARDED_REQUEST_H

/// \file
/// A caller's request as an entry hands it to an owner.

#include "core/clock.h"
#include "core/request_id.h"
#include "core/types.h"
#include "net/http_message.h"
#include "settings/request_rule.h"

#include <string>

namespace lagoonhitch {

/// A caller's request as an entry hands it to an owner.
struct ForwardedRequest {
  RequestId Id_;
  std::string Service_;
  /// Whether only the shard's owner may run it.
  bool Owned_ = false;
  ShardId Shard_ = 0;
  /// Latest time of admission, on the owner's clock.
  Instant StartBy_;
  /// Time of the answer, on the owner's clock.
  Instant Deadline_;
  Priority Priority_ = Priority::Normal;
  bool Repeatable_ = false;
  /// The caller's request without hop-by-hop headers.
  HttpRequest Request_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_FORWARDED_REQUEST_H
