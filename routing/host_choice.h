#ifndef LAGOONHITCH_ROUTING_HOST_CHOICE_H
#define LAGOONHITCH_ROUTING_HOST_CHOICE_H

/// \file
/// Chooses the host whose upstream is to run a request of a shared service.

#include "core/clock.h"
#include "membership/fleet.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lagoonhitch {

/// Settings of the choice.
struct HostChoiceOptions {
  /// What an upstream in another zone costs, as time.
  std::chrono::milliseconds ZoneCost_{40};
  /// Silence after which a host is taken last.
  std::chrono::milliseconds MaxLoadAge_{1500};
  /// Work time that is assumed of an upstream that told none.
  std::chrono::milliseconds InitialProcessingTime_{200};
};

/// What the choice is made for.
struct HostChoice {
  std::string Service_;
  std::string OwnZone_;
  std::string OwnHost_;
  /// Hosts that were tried already.
  std::set<std::string> Tried_;
};

/// Returns how long a request would take there, other costs included.
Duration costOf(const FleetMember &Member, const HostChoice &Choice,
                const HostChoiceOptions &Options, Instant Now);

/// Returns the better of the own zone's best and a random other; nothing if no
/// upstream of the service takes requests.
/// \param Draw an evenly distributed random number.
std::optional<std::string> chooseHost(const Fleet &State,
                                      const HostChoice &Choice,
                                      const HostChoiceOptions &Options,
                                      std::uint64_t Random, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_HOST_CHOICE_H
