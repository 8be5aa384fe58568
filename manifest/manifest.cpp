#include "manifest/manifest.h"

#include <algorithm>

namespace lagoonhitch {

void sortRoutes(Manifest &Config) {
  std::stable_sort(Config.Routes_.begin(), Config.Routes_.end(),
                   [](const Route &Left, const Route &Right) {
                     if (Left.Hostname_ != Right.Hostname_)
                       return Left.Hostname_ < Right.Hostname_;
                     return Left.Prefix_.size() > Right.Prefix_.size();
                   });
}

const ServiceSpec *findService(const Manifest &Config,
                               const std::string &Name) {
  const auto It = Config.Services_.find(Name);
  return It == Config.Services_.end() ? nullptr : &It->second;
}

} // namespace lagoonhitch
