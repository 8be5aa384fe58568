#ifndef LAGOONHITCH_OWNERSHIP_KEY_PEER_H
#define LAGOONHITCH_OWNERSHIP_KEY_PEER_H

/// \file
/// The hosts of a service as candidates for keys.

#include "core/clock.h"
#include "ownership/key_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A host of the service as this daemon sees it.
struct KeyPeer {
  std::string Host_;
  std::string Upstream_;
  /// Start of the upstream's process, in milliseconds since the Unix epoch.
  std::int64_t StartMillis_ = 0;
  /// The lease epoch that it last reported.
  std::uint64_t Epoch_ = 0;
  /// Whether keys may be assigned to it.
  bool AcceptsKeys_ = false;
  /// Whether it has received keys recently, so that its load is not yet
  /// meaningful.
  bool RecentlyGainedKeys_ = false;
  /// Time since the last contact, and the minimum time without contact before
  /// it is suspected to have failed.
  Duration SinceLastContact_{};
  Duration ContactTimeout_{};
  /// Requests per second that it receives and that it can handle.
  double Rate_ = 0;
  double Capacity_ = 1;
};

/// Inputs to the decisions about key ownership at one point in time.
struct KeyOwnershipInputs {
  /// All hosts of the service, including this one, sorted by name.
  std::vector<KeyPeer> Peers_;
  /// Requests per second for each key of this host, as far as known.
  const std::map<KeyId, double> *KeyRates_ = nullptr;
  /// Factor by which the rates in KeyRates_ are higher than stated there.
  double KeyRateFactor_ = 1;
  /// How long this daemon has been able to receive digests without a pause.
  Duration Uptime_{};
  /// Minimum time without contact before a host that is not a member is
  /// suspected to have failed.
  Duration ContactTimeout_{};
};

/// Returns a host of the service, nullptr if it is not a member.
const KeyPeer *findPeer(const KeyOwnershipInputs &Inputs,
                        const std::string &Host);

/// Returns whether keys may be assigned to a host.
bool acceptsKeys(const KeyOwnershipInputs &Inputs, const std::string &Host);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_PEER_H
