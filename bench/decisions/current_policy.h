#ifndef LAGOONHITCH_BENCH_DECISIONS_CURRENT_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_CURRENT_POLICY_H

/// \file
/// The policy of the daemon: its load balancing and its admission queue.

#include "bench/decisions/fleet_policy.h"
#include "bench/decisions/service_simulation.h"
#include "limits/admission_queue.h"
#include "membership/fleet.h"

#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Uses the load balancing and the admission queues of the daemon. As between
/// daemons, load is shared by periodic digests and by a load report with each
/// answer.
class CurrentPolicy : public FleetPolicy {
public:
  /// \param Seed seed of the random numbers for load balancing.
  CurrentPolicy(const ServiceSimulationOptions &Options, std::uint64_t Seed,
                Instant Now);

  std::size_t chooseTarget(std::size_t EntryHost,
                           const std::set<std::size_t> &Tried,
                           Instant Now) override;
  void onAttemptSent(std::size_t EntryHost, std::size_t TargetHost) override;
  void onAttemptEnded(std::size_t EntryHost, std::size_t TargetHost,
                      Duration Elapsed, bool Rejected, Instant Now) override;
  BenchDecision admit(std::size_t TargetHost, const BenchRequest &Request,
                      Instant Now) override;
  BenchDispatch onRequestFinished(std::size_t TargetHost,
                                  const BenchRequest &Request,
                                  BenchOutcome Outcome, Duration Elapsed,
                                  Instant Now) override;
  BenchDispatch tick(std::size_t TargetHost, Instant Now) override;
  void onUpstreamCold(std::size_t TargetHost, Duration ColdDuration,
                      double PerSecond, Instant Now) override;

private:
  struct Host {
    std::string Name_;
    std::string Zone_;
    AdmissionQueue Queue_;
    Fleet Fleet_;
    bool HasUpstream_ = false;
    Instant NextDigestAt_;
    /// Indexes of the hosts that receive its digests.
    std::vector<std::size_t> Recipients_;
    std::uint64_t Sequence_ = 0;
  };

  void addHost(std::size_t Index, const ServiceSimulationOptions &Options,
               Instant Now);
  void addMembers(Host &Receiver, Instant Now) const;
  std::vector<std::size_t> recipientsOf(const Host &Sender) const;
  void sendDigest(Host &Sender, Instant Now);
  FleetMember &memberOf(std::size_t EntryHost, std::size_t TargetHost);
  static QueuedRequest toQueuedRequest(const BenchRequest &Request);

  std::chrono::milliseconds ZoneCost_;
  std::chrono::milliseconds DigestInterval_;
  bool SampleDigests_;
  std::mt19937_64 Random_;
  std::vector<Host> Hosts_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_CURRENT_POLICY_H
