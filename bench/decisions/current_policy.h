#ifndef LAGOONHITCH_BENCH_DECISIONS_CURRENT_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_CURRENT_POLICY_H

/// \file
/// The choice and the doors as daemons have them.

#include "bench/decisions/fleet_policy.h"
#include "bench/decisions/service_simulation.h"
#include "limits/admission_queue.h"
#include "membership/fleet.h"

#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The choice and the doors as daemons have them: digests in steps, loads with
/// answers, doors with a queue.
class PresentDecisions : public Decisions {
public:
  /// \param Seed of the choices' random numbers.
  PresentDecisions(const SharedRunOptions &Options, std::uint64_t Seed,
                   Instant Now);

  std::size_t choose(std::size_t Entry, const std::set<std::size_t> &Tried,
                     Instant Now) override;
  void onSent(std::size_t Entry, std::size_t Target) override;
  void onAnswered(std::size_t Entry, std::size_t Target, Duration Took,
                  bool Refused, Instant Now) override;
  BenchVerdict admit(std::size_t Owner, const BenchTicket &Ticket,
                     Instant Now) override;
  BenchChange onEnded(std::size_t Owner, const BenchTicket &Ticket,
                      BenchEnd End, Duration Took, Instant Now) override;
  BenchChange tick(std::size_t Owner, Instant Now) override;
  void onCold(std::size_t Owner, Duration For, double PerSecond,
              Instant Now) override;

private:
  struct Host {
    std::string Name_;
    std::string Zone_;
    AdmissionQueue Door_;
    Fleet Fleet_;
    Instant DigestAt_;
    std::uint64_t Sequence_ = 0;
  };

  LoadReport loadOf(const Host &One, Instant Now) const;
  void sendDigest(Host &From, Instant Now);
  FleetMember &memberOf(std::size_t Entry, std::size_t Target);
  static QueuedRequest ticketOf(const BenchTicket &Ticket);

  std::chrono::microseconds ZoneDelay_;
  std::mt19937_64 Random_;
  std::vector<Host> Hosts_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_CURRENT_POLICY_H
