#include "membership/digest_recipients.h"

#include <xxhash.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Hashes a pair of hosts to a number from 0 to 1. It is deterministic, so a
/// host selects the same recipients as long as the members stay the same.
double sampleValue(const std::string &Host, const std::string &Recipient) {
  constexpr double HashRange = 18446744073709551616.0;
  const XXH64_hash_t Seed = XXH3_64bits(Host.data(), Host.size());
  return static_cast<double>(
             XXH3_64bits_withSeed(Recipient.data(), Recipient.size(), Seed)) /
         HashRange;
}

/// The number of hosts of a service, in all zones and in one zone.
struct ServiceSize {
  double Hosts_ = 0;
  double InZone_ = 0;
};

ServiceSize serviceSize(const Fleet &State, const MemberRecord &Own) {
  ServiceSize Size;
  for (const auto &[Host, Member] : State.Members_) {
    if (Member.Record_.Service_ != Own.Service_)
      continue;
    ++Size.Hosts_;
    if (Member.Record_.Zone_ == Own.Zone_)
      ++Size.InZone_;
  }
  return Size;
}

/// Returns the probability that a host sends its digests to a recipient; one or
/// more means always.
double sampleProbability(const MemberRecord &Recipient, const MemberRecord &Own,
                         const ServiceSize &Size, bool Sharded,
                         const DigestSampleOptions &Options) {
  if (Sharded)
    return Recipient.Service_ == Own.Service_
               ? 1
               : Options.ShardedServiceSample_ / Size.Hosts_;
  const double SameZone =
      Recipient.Zone_ == Own.Zone_ ? Options.ZoneSample_ / Size.InZone_ : 0;
  return std::max(SameZone, Options.SiteSample_ / Size.Hosts_);
}

} // namespace

std::vector<const MemberRecord *>
digestRecipients(const Fleet &State, const std::string &Host, bool Sharded,
                 const DigestSampleOptions &Options) {
  std::vector<const MemberRecord *> Recipients;
  const FleetMember *Own = findMember(State, Host);
  if (Own == nullptr)
    return Recipients;
  const ServiceSize Size = serviceSize(State, Own->Record_);
  for (const auto &[Name, Member] : State.Members_) {
    const double Probability =
        sampleProbability(Member.Record_, Own->Record_, Size, Sharded, Options);
    if (Name != Host && sampleValue(Host, Name) < Probability)
      Recipients.push_back(&Member.Record_);
  }
  return Recipients;
}

} // namespace lagoonhitch
