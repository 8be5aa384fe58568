#ifndef LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H
#define LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H

/// \file
/// Tells all daemons of a site each other's load.

#include "core/clock.h"
#include "daemon/site_state.h"
#include "net/datagram_link.h"

#include <functional>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// What a DigestExchange sends and tells.
struct DigestHooks {
  /// Makes the present digest.
  std::function<LoadDigest()> Make_;
  /// Takes a peer's digest.
  std::function<void(const LoadDigest &)> Heard_;
};

/// Sends small digests several times a second. Serving thread only.
class DigestExchange {
public:
  /// \param Address `ip:port` to listen on.
  DigestExchange(IoLoop &Loop, const Clock &Time, SiteState &Site,
                 const std::string &Address, std::string OwnHost,
                 DigestHooks Hooks);

  /// Sends a digest if one is due.
  void tick();

  /// Sends a digest at once.
  void sendNow();

private:
  void receive(const char *Data, std::size_t Size);

  const Clock &Time_;
  SiteState &Site_;
  std::string OwnHost_;
  DigestHooks Hooks_;
  DatagramLink Link_;
  Instant SendAt_ = Instant::min();
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H
