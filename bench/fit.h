#ifndef LAGOONHITCH_BENCH_FIT_H
#define LAGOONHITCH_BENCH_FIT_H

/// \file
/// Straight lines through measured points.

#include <vector>

namespace lagoonhitch {

/// A measured value at one size.
struct FitPoint {
  double Size_ = 0;
  double Value_ = 0;
};

/// The line Offset_ + Slope_ * size with the least squared error.
struct Fit {
  double Offset_ = 0;
  double Slope_ = 0;
  /// The largest deviation of a point from the line, in percent of the
  /// largest value.
  double ErrorPercent_ = 0;
};

/// Fits a line through at least two points of different sizes.
Fit fitLine(const std::vector<FitPoint> &Points);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_FIT_H
