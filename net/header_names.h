#ifndef LAGOONHITCH_NET_HEADER_NAMES_H
#define LAGOONHITCH_NET_HEADER_NAMES_H

/// \file
/// Names of the HTTP headers that callers and upstreams use.

#include <functional>
#include <string>

namespace lagoonhitch {

/// Names of the HTTP headers that callers and upstreams use. They depend on the
/// platform, so they are passed in; the daemon only knows their meanings.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed in the response.
  std::string RequestId_;
  /// Time until the request's deadline, in milliseconds.
  std::string Deadline_;
  /// The number of the request's key.
  std::string Key_;
  /// Sent to upstreams: the ID of the incarnation that the request is for.
  std::string TargetUpstream_;
  /// Sent to upstreams: the service of the daemon that received the request.
  std::string CallerService_;
  /// Sent by upstreams: proves that the response is from the upstream.
  std::string Signature_;
  /// Sent by upstreams: present if the request was not executed.
  std::string NotRun_;
  /// Sent by upstreams: running requests, queued requests, slots, and a
  /// slowdown factor in percent.
  std::string Load_;
  /// Sent by upstreams: the ID of the incarnation that responds.
  std::string UpstreamId_;
  /// Sent by upstreams with health check responses: remaining time of the cold
  /// start, in milliseconds.
  std::string ColdMillis_;
  /// Sent by upstreams that are short of capacity: the requests per second that
  /// they accept from all callers together. It holds until they respond without
  /// it.
  std::string RateLimit_;
  /// Sent by upstreams that are about to terminate, with the value `1`.
  std::string Leaving_;
  /// Returns, from the ID of a request, the ID of the running request that
  /// would have made it as a call; an empty text if the ID is not that of a
  /// call. Not set if the platform has no calls.
  std::function<std::string(const std::string &)> ParentRequestId_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HEADER_NAMES_H
