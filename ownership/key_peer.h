#ifndef LAGOONHITCH_OWNERSHIP_KEY_PEER_H
#define LAGOONHITCH_OWNERSHIP_KEY_PEER_H

/// \file
/// The other hosts that keys may go to.

#include "core/clock.h"
#include "ownership/key_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Another host of the service as this daemon sees it.
struct KeyPeer {
  std::string Host_;
  std::string Upstream_;
  std::int64_t StartMillis_ = 0;
  /// The lease epoch that it has told.
  std::uint64_t Epoch_ = 0;
  /// Whether it may be given keys.
  bool AcceptsKeys_ = false;
  /// Whether it has got keys a moment ago.
  bool RecentlyGainedKeys_ = false;
  /// How long it has not been heard of, and for how long it may be so at
  /// least before it is suspected.
  Duration SinceLastContact_{};
  Duration ContactTimeout_{};
  /// Requests a second that it gets and that it bears.
  double Rate_ = 0;
  double Capacity_ = 1;
};

/// What the decisions of one moment rest on.
struct KeyOwnershipInputs {
  /// All hosts of the service, this one included, in the order of their names.
  std::vector<KeyPeer> Peers_;
  /// Requests a second for each key of this host, as far as they are known.
  const std::map<KeyId, double> *KeyRates_ = nullptr;
  /// How long this process has run.
  Duration Uptime_{};
};

/// Returns a host of the service, nullptr if it is none.
const KeyPeer *findPeer(const KeyOwnershipInputs &Inputs,
                        const std::string &Host);

/// Returns whether a host may be given keys.
bool acceptsKeys(const KeyOwnershipInputs &Inputs, const std::string &Host);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_PEER_H
