#include "bench/latency_samples.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

std::chrono::microseconds LatencySamples::percentile(double Percent) const {
  if (Times_.empty())
    return std::chrono::microseconds(0);
  std::vector<Duration> Sorted = Times_;
  std::sort(Sorted.begin(), Sorted.end());
  const double Rank =
      std::ceil(Percent / 100 * static_cast<double>(Sorted.size()));
  const std::size_t Index =
      Rank < 1 ? 0
               : std::min(Sorted.size(), static_cast<std::size_t>(Rank)) - 1;
  return std::chrono::duration_cast<std::chrono::microseconds>(Sorted[Index]);
}

} // namespace lagoonhitch
