#include "membership/digest_recipients.h"

#include <xxhash.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

/// A number from 0 to 1 that depends on both hosts alone.
double drawOf(const std::string &Host, const std::string &Listener) {
  constexpr double Range = 18446744073709551616.0;
  const XXH64_hash_t Seed = XXH3_64bits(Host.data(), Host.size());
  return static_cast<double>(
             XXH3_64bits_withSeed(Listener.data(), Listener.size(), Seed)) /
         Range;
}

/// How many hosts a service has, in all and in one zone.
struct ServiceSize {
  double Hosts_ = 0;
  double InZone_ = 0;
};

ServiceSize sizeOf(const Fleet &State, const MemberRecord &Own) {
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

/// The part of the members like this one that listen.
double partOf(const MemberRecord &Listener, const MemberRecord &Own,
              const ServiceSize &Size, bool Divided,
              const AudienceOptions &Options) {
  if (Divided)
    return Listener.Service_ == Own.Service_
               ? 1
               : Options.HintSample_ / Size.Hosts_;
  const double Near =
      Listener.Zone_ == Own.Zone_ ? Options.ZoneSample_ / Size.InZone_ : 0;
  return std::max(Near, Options.Sample_ / Size.Hosts_);
}

} // namespace

std::vector<const MemberRecord *> audienceOf(const Fleet &State,
                                             const std::string &Host,
                                             bool Divided,
                                             const AudienceOptions &Options) {
  std::vector<const MemberRecord *> Audience;
  const FleetMember *Own = findMember(State, Host);
  if (Own == nullptr)
    return Audience;
  const ServiceSize Size = sizeOf(State, Own->Record_);
  for (const auto &[Name, Member] : State.Members_) {
    const double Part =
        partOf(Member.Record_, Own->Record_, Size, Divided, Options);
    if (Name != Host && drawOf(Host, Name) < Part)
      Audience.push_back(&Member.Record_);
  }
  return Audience;
}

} // namespace lagoonhitch
