#include "manifest/manifest.h"

#include <algorithm>

namespace lagoonhitch {

void sortRoutes(Manifest &Source) {
  std::stable_sort(Source.Routes_.begin(), Source.Routes_.end(),
                   [](const Route &Left, const Route &Right) {
                     if (Left.Host_ != Right.Host_)
                       return Left.Host_ < Right.Host_;
                     return Left.Prefix_.size() > Right.Prefix_.size();
                   });
}

const ServiceSpec *findService(const Manifest &Source,
                               const std::string &Name) {
  const auto Found = Source.Services_.find(Name);
  return Found == Source.Services_.end() ? nullptr : &Found->second;
}

} // namespace lagoonhitch
