#ifndef LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H
#define LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H

/// \file
/// Tells all daemons of a site each other's load.

#include "core/clock.h"
#include "daemon/site_state.h"
#include "net/datagram_link.h"
#include "net/digest_codec.h"

#include <functional>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// What a DigestExchange sends and tells.
struct DigestCallbacks {
  /// Makes the present digest.
  std::function<LoadDigest()> MakeDigest_;
  /// Takes a peer's digest.
  std::function<void(const LoadDigest &)> OnDigest_;
  /// Takes a record that a peer passes on.
  std::function<void(const PassedRecord &)> OnPushedRecord_;
};

/// Sends small digests several times a second. Serving thread only.
class DigestExchange {
public:
  /// \param Address `ip:port` to listen on.
  DigestExchange(IoLoop &Loop, const Clock &Time, SiteState &Site,
                 const std::string &Address, std::string OwnHost,
                 std::string OwnService, DigestCallbacks Callbacks);

  /// Sends a digest if one is due.
  void tick();

  /// Passes a record of the store on to all peers. One that gets lost is read
  /// by whoever hears from the next digest that it is behind.
  void pushRecord(const PassedRecord &Pushed);

  /// Sends a digest at once.
  void sendNow();

private:
  void receive(const char *Data, std::size_t Size);

  const Clock &Time_;
  SiteState &Site_;
  std::string OwnHost_;
  std::string OwnService_;
  DigestCallbacks Callbacks_;
  DatagramLink Link_;
  Instant NextSendAt_ = Instant::min();
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H
