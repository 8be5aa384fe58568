#include "manifest/route_match.h"

#include <algorithm>

namespace lagoonhitch {

const Route *findRoute(const Manifest &Config, std::string_view Host,
                       std::string_view Target) {
  const std::string_view Hostname = Host.substr(0, Host.find(':'));
  const std::string_view Path = Target.substr(0, Target.find('?'));
  auto It =
      std::lower_bound(Config.Routes_.begin(), Config.Routes_.end(), Hostname,
                       [](const Route &Candidate, std::string_view Wanted) {
                         return Candidate.Hostname_ < Wanted;
                       });
  for (; It != Config.Routes_.end() && It->Hostname_ == Hostname; ++It)
    if (Path.starts_with(It->Prefix_))
      return &*It;
  return nullptr;
}

const std::string &pickService(const Route &Matched,
                               std::uint64_t RandomValue) {
  std::uint64_t TotalWeight = 0;
  for (const RouteTarget &Target : Matched.Targets_)
    TotalWeight += Target.Weight_;
  if (TotalWeight == 0)
    return Matched.Targets_.front().Service_;
  std::uint64_t Remaining = RandomValue % TotalWeight;
  for (const RouteTarget &Target : Matched.Targets_) {
    if (Remaining < Target.Weight_)
      return Target.Service_;
    Remaining -= Target.Weight_;
  }
  return Matched.Targets_.back().Service_;
}

} // namespace lagoonhitch
