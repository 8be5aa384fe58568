#ifndef LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_OPTIONS_H
#define LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_OPTIONS_H

/// \file
/// Settings of a KeyOwnershipState.

#include <chrono>
#include <cstddef>

namespace lagoonhitch {

/// Settings of a KeyOwnershipState.
struct KeyOwnershipOptions {
  /// How long an acknowledged showing of the epoch lets keys be held.
  std::chrono::milliseconds Lease_{8000};
  std::chrono::milliseconds RenewInterval_{2000};
  /// Pause after a showing that failed.
  std::chrono::milliseconds RenewRetryDelay_{300};
  /// How long the upstream holds keys by one grant.
  std::chrono::milliseconds Hold_{2500};
  std::chrono::milliseconds GrantInterval_{800};
  /// How much slower than ours the upstream's clock may run.
  double MaxClockDrift_ = 0.02;
  /// Time between the last look at the clock and the arrival of a grant.
  std::chrono::milliseconds PauseMargin_{150};
  /// How long the members stay the same before keys are first divided.
  std::chrono::milliseconds StableMembershipTime_{1000};
  /// Silence after which a host is suspected.
  std::chrono::milliseconds SuspectAfter_{2500};
  /// How much later each further host acts, and after how many of them the
  /// next one acts with the first again.
  std::chrono::milliseconds RankDelay_{400};
  std::size_t RankCount_ = 6;
  /// Pause after an append that failed.
  std::chrono::milliseconds AppendRetryDelay_{150};
  /// Pause between two moves for balance.
  std::chrono::milliseconds RebalanceInterval_{1500};
  /// How busy a host must be to move keys away, as a part of what it bears.
  double RebalanceMinLoad_ = 0.55;
  /// How much busier than another a host must be to move keys there, as a part
  /// of what it bears.
  double RebalanceMinGap_ = 0.2;
  /// Part of the difference that is moved at a time.
  double RebalanceFraction_ = 0.8;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_OPTIONS_H
