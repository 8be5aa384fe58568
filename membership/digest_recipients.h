#ifndef LAGOONHITCH_MEMBERSHIP_DIGEST_RECIPIENTS_H
#define LAGOONHITCH_MEMBERSHIP_DIGEST_RECIPIENTS_H

/// \file
/// Selects the recipients of a host's load digests. Each daemon receives the
/// digests of a sample of hosts, so that the number of digests that one daemon
/// sends and receives does not grow with the site.

#include "membership/fleet.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Expected sample sizes, in hosts.
struct DigestSampleOptions {
  /// Hosts of a shared service in all zones whose digests a daemon receives.
  double SiteSample_ = 6;
  /// Hosts of a shared service in a daemon's own zone whose digests it
  /// receives.
  double ZoneSample_ = 6;
  /// Hosts of another sharded service whose digests a daemon receives. Their
  /// TableEnd_ shows that the service's key table has changed.
  double ShardedServiceSample_ = 3;
};

/// Returns the members that a host sends its digests to; none if the host is
/// not a member. All hosts of a sharded service receive each other's digests,
/// since they take over the keys of lost hosts.
/// \param Sharded whether the host's service is sharded by key.
std::vector<const MemberRecord *>
digestRecipients(const Fleet &State, const std::string &Host, bool Sharded,
                 const DigestSampleOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_DIGEST_RECIPIENTS_H
