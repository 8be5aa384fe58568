#ifndef LAGOONHITCH_MEMBERSHIP_POLL_SCHEDULE_H
#define LAGOONHITCH_MEMBERSHIP_POLL_SCHEDULE_H

/// \file
/// How long each host's read of the operators' records waits for new ones.
///
/// The store may lose a read without a trace, and those of all hosts at once. A
/// few hosts therefore read at short intervals, and report what they find to
/// the others, whose reads wait for longer, since calls to the store are
/// billed.

#include "membership/fleet.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Returns whether a host is one of those that read at short intervals: the
/// first few, in an order of their own, of the hosts that it receives digests
/// from.
bool readsOften(const Fleet &State, const std::string &Host, Instant Now);

/// Returns how long a read waits for new records. It differs from host to host
/// and from read to read, so that hosts which have started at the same time do
/// not read at the same moment for long.
/// \param ReadNumber counts the host's reads.
std::chrono::milliseconds readTimeout(const Fleet &State,
                                      const std::string &Host,
                                      std::uint64_t ReadNumber, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_POLL_SCHEDULE_H
