#include "membership/upstream_registry.h"

namespace lagoonhitch {

UpstreamChange announce(UpstreamRegistry &Registry, const UpstreamInfo &Info,
                        Instant Now) {
  const auto [Found, IsNew] = Registry.Upstreams_.try_emplace(Info.Service_);
  UpstreamRegistry::Entry &Entry = Found->second;
  const UpstreamRegistry::Entry Before = Entry;
  Entry.Info_ = Info;
  Entry.RenewedAt_ = Now;
  Entry.Lost_ = false;
  if (IsNew)
    return UpstreamChange::Appeared;
  if (Before.Info_.Instance_ != Info.Instance_)
    return UpstreamChange::Restarted;
  if (Before.Lost_)
    return UpstreamChange::Resumed;
  if (Before.Info_.Draining_ == Info.Draining_)
    return UpstreamChange::None;
  return Info.Draining_ ? UpstreamChange::Draining : UpstreamChange::Resumed;
}

std::vector<std::string> expire(UpstreamRegistry &Registry,
                                std::chrono::milliseconds Limit, Instant Now) {
  std::vector<std::string> Lost;
  for (auto &[Service, Entry] : Registry.Upstreams_) {
    if (Entry.Lost_ || Now - Entry.RenewedAt_ <= Limit)
      continue;
    Entry.Lost_ = true;
    Lost.push_back(Service);
  }
  return Lost;
}

const UpstreamInfo *usableUpstream(const UpstreamRegistry &Registry,
                                   const std::string &Service) {
  const auto Found = Registry.Upstreams_.find(Service);
  if (Found == Registry.Upstreams_.end())
    return nullptr;
  if (Found->second.Lost_ || Found->second.Info_.Draining_)
    return nullptr;
  return &Found->second.Info_;
}

std::map<std::string, std::uint32_t>
announcedSlots(const UpstreamRegistry &Registry) {
  std::map<std::string, std::uint32_t> Slots;
  for (const auto &[Service, Entry] : Registry.Upstreams_)
    Slots[Service] = usableUpstream(Registry, Service) ? Entry.Info_.Slots_ : 0;
  return Slots;
}

} // namespace lagoonhitch
