#include "bench/fit.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

Fit fitLine(const std::vector<FitPoint> &Points) {
  const double Count = static_cast<double>(Points.size());
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  double Largest = 0;
  for (const FitPoint &One : Points) {
    SumX += One.Size_;
    SumY += One.Value_;
    SumXX += One.Size_ * One.Size_;
    SumXY += One.Size_ * One.Value_;
    Largest = std::max(Largest, std::abs(One.Value_));
  }
  Fit Line;
  Line.Slope_ = (Count * SumXY - SumX * SumY) / (Count * SumXX - SumX * SumX);
  Line.Offset_ = (SumY - Line.Slope_ * SumX) / Count;
  for (const FitPoint &One : Points) {
    const double Off =
        std::abs(One.Value_ - Line.Offset_ - Line.Slope_ * One.Size_);
    if (Largest > 0)
      Line.ErrorPercent_ = std::max(Line.ErrorPercent_, 100 * Off / Largest);
  }
  return Line;
}

} // namespace lagoonhitch
