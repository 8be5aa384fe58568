#include "manifest/route_match.h"

#include <algorithm>

namespace lagoonhitch {

const Route *findRoute(const Manifest &Source, std::string_view Host,
                       std::string_view Target) {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const std::string_view Path = Target.substr(0, Target.find('?'));
  auto At = std::lower_bound(
      Source.Routes_.begin(), Source.Routes_.end(), Name,
      [](const Route &Row, std::string_view Key) { return Row.Host_ < Key; });
  for (; At != Source.Routes_.end() && At->Host_ == Name; ++At)
    if (Path.starts_with(At->Prefix_))
      return &*At;
  return nullptr;
}

const std::string &pickService(const Route &Source, std::uint64_t Draw) {
  std::uint64_t Total = 0;
  for (const RouteTarget &Target : Source.Targets_)
    Total += Target.Weight_;
  if (Total == 0)
    return Source.Targets_.front().Service_;
  std::uint64_t Left = Draw % Total;
  for (const RouteTarget &Target : Source.Targets_) {
    if (Left < Target.Weight_)
      return Target.Service_;
    Left -= Target.Weight_;
  }
  return Source.Targets_.back().Service_;
}

} // namespace lagoonhitch
