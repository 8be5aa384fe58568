#ifndef LAGOONHITCH_NET_HEADER_NAMES_H
#define LAGOONHITCH_NET_HEADER_NAMES_H

/// \file
/// The names of the headers that callers and upstreams use.

#include <string>

namespace lagoonhitch {

/// The names of the headers that callers and upstreams use. Whoever speaks to
/// them hands in the names; the daemon knows only what each means.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed in its answer.
  std::string RequestId_;
  /// Milliseconds for which the answer is still of use.
  std::string Deadline_;
  /// The number of the request's key.
  std::string Key_;
  /// Towards upstreams: which life of an upstream is meant.
  std::string TargetUpstream_;
  /// Towards upstreams: the service beside which the request began.
  std::string CallerService_;
  /// From upstreams: proves that the answer is the upstream's.
  std::string Signature_;
  /// From upstreams: the request was not executed.
  std::string NotRun_;
  /// From upstreams: running, waiting, slots, slowness in hundredths.
  std::string Load_;
  /// From upstreams: which life of an upstream answers.
  std::string UpstreamId_;
  /// From upstreams' health answers: for how many milliseconds it is cold.
  std::string ColdMillis_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HEADER_NAMES_H
