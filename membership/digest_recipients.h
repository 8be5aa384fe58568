#ifndef LAGOONHITCH_MEMBERSHIP_DIGEST_RECIPIENTS_H
#define LAGOONHITCH_MEMBERSHIP_DIGEST_RECIPIENTS_H

/// \file
/// Who is told a host's load. Daemons choose among samples, so that what each
/// one sends and reads does not grow with the site.

#include "membership/fleet.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of the samples.
struct DigestSampleOptions {
  /// Hosts of a shared service that a daemon hears of, over all zones and of
  /// its own zone.
  double SiteSample_ = 6;
  double ZoneSample_ = 6;
  /// Hosts of another divided service that a daemon hears of; they tell it that
  /// keys have changed hands.
  double ShardedServiceSample_ = 3;
};

/// Returns the members that a host's digests go to. Hosts of one divided
/// service all hear of each other, since they replace those who are lost.
/// \param Divided whether the host's service is divided by key.
std::vector<const MemberRecord *>
digestRecipients(const Fleet &State, const std::string &Host, bool Sharded,
                 const DigestSampleOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_DIGEST_RECIPIENTS_H
