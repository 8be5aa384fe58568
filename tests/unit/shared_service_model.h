#ifndef LAGOONHITCH_TESTS_UNIT_SHARED_SERVICE_MODEL_H
#define LAGOONHITCH_TESTS_UNIT_SHARED_SERVICE_MODEL_H

/// \file
/// A model of a shared service whose upstreams fail, in virtual time.

#include "limits/failure_rate.h"
#include "membership/fleet.h"
#include "routing/host_choice.h"
#include "routing/upstream_health.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of a SharedServiceModel.
struct SharedServiceOptions {
  /// Number of hosts; each has an upstream and an entry daemon.
  std::size_t Hosts_ = 20;
  std::uint32_t Slots_ = 6;
  /// Mean processing time of a success; a failure takes 2 ms.
  std::chrono::milliseconds ProcessingTime_{100};
  /// Requests per second.
  double Rate_ = 600;
  /// Time between two digests of a host. Each host sends at another time.
  std::chrono::milliseconds DigestInterval_{1000};
  /// Whether entry daemons use the health of upstreams, and gateways leave
  /// failures out of the processing time.
  bool UseHealth_ = true;
  /// Returns the probability with which a request fails.
  std::function<double(std::size_t Upstream, std::chrono::milliseconds At)>
      FailureProbability_;
};

/// Sends requests from all entry daemons to the upstreams that chooseHost()
/// selects, each up to twice. Every second request is idempotent; only those
/// are sent again after a failure.
class SharedServiceModel {
public:
  explicit SharedServiceModel(SharedServiceOptions Options);

  /// Runs the model until a time after its start.
  void runUntil(std::chrono::milliseconds End);

  /// Returns the attempts that an upstream got between two times.
  std::size_t attempts(std::size_t Upstream, std::chrono::milliseconds From,
                       std::chrono::milliseconds To) const;

  /// Returns the same, divided by the mean over all upstreams.
  double attemptsToMean(std::size_t Upstream, std::chrono::milliseconds From,
                        std::chrono::milliseconds To) const;

  /// Returns the share of requests begun between two times whose last attempt
  /// failed.
  double failedShare(std::chrono::milliseconds From,
                     std::chrono::milliseconds To) const;

  /// Returns how many entry daemons avoid an upstream.
  std::size_t avoiders(std::size_t Upstream) const;

private:
  struct Request {
    std::size_t Entry_ = 0;
    std::size_t Upstream_ = 0;
    bool Idempotent_ = false;
    std::set<std::string> Tried_;
    std::chrono::milliseconds BegunAt_{};
  };
  struct Upstream {
    FailureRate Failures_;
    std::uint32_t Running_ = 0;
    std::deque<Request> Waiting_;
    double ProcessingMillis_ = 0;
    std::vector<std::chrono::milliseconds> Attempts_;
  };
  struct Entry {
    Fleet Fleet_;
    ServiceHealth Health_;
  };
  struct End {
    Request Request_;
    bool Failed_ = false;
    double Millis_ = 0;
  };

  Instant now() const;
  LoadReport load(const Upstream &Reporting) const;
  void sendDigests();
  void send(Request Sent);
  void startWaiting(std::size_t Index);
  void finish(const End &Ended);

  SharedServiceOptions Options_;
  std::chrono::milliseconds Elapsed_{0};
  std::mt19937_64 Random_{7};
  double Due_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t DigestSequence_ = 0;
  std::vector<Upstream> Upstreams_;
  std::vector<Entry> Entries_;
  std::multimap<std::chrono::milliseconds, End> Ends_;
  /// When each finished request began, and whether it failed.
  std::vector<std::pair<std::chrono::milliseconds, bool>> Finished_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_UNIT_SHARED_SERVICE_MODEL_H
