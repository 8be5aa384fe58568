#ifndef LAGOONHITCH_MEMBERSHIP_SEAT_PLANNER_H
#define LAGOONHITCH_MEMBERSHIP_SEAT_PLANNER_H

/// \file
/// Chooses the witnesses and the heir of each member.

#include "ownership/record.h"

#include <vector>

namespace lagoonhitch {

/// Most witnesses of one lease.
inline constexpr std::size_t MaxWitnesses = 3;

/// Returns new seats for every member whose witnesses or heir are missing.
/// Witnesses stand in availability zones of their own as far as there are
/// enough; live witnesses keep their seats.
std::vector<Record::Plan::Seat> planSeats(const Table &State);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_SEAT_PLANNER_H
