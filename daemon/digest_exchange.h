#ifndef LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H
#define LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H

/// \file
/// Exchanges load digests and store records with the site's other daemons.

#include "core/clock.h"
#include "daemon/site_state.h"
#include "net/datagram_socket.h"
#include "net/digest_codec.h"

#include <functional>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// The callbacks of a DigestExchange.
struct DigestCallbacks {
  /// Returns the current digest of this daemon.
  std::function<LoadDigest()> MakeDigest_;
  /// Called with each digest from a peer.
  std::function<void(const LoadDigest &)> OnDigest_;
  /// Called with each store record that a peer pushes.
  std::function<void(const PushedRecord &)> OnPushedRecord_;
};

/// Periodically sends load digests as datagrams and receives those of peers.
/// Serving thread only.
class DigestExchange {
public:
  /// \param Site the daemon's view of the site; updated by digests.
  /// \param Address `ip:port` to listen on.
  /// \param OwnHost the daemon's host.
  /// \param OwnService the service of the local upstream.
  DigestExchange(IoLoop &Loop, const Clock &Time, SiteState &Site,
                 const std::string &Address, std::string OwnHost,
                 std::string OwnService, DigestCallbacks Callbacks);

  /// Sends a digest if one is due. To be called periodically.
  void tick();

  /// Pushes a store record to all peers. Delivery is not guaranteed: a peer
  /// that missed it learns from the next digest that it is behind, and reads
  /// the record from the store.
  void pushRecord(const PushedRecord &Pushed);

  /// Sends a digest immediately: to all peers while this host has hot keys,
  /// since any of them may be the entry daemon of requests for these keys.
  void sendNow();

  /// Sends a digest immediately to all peers, also to those that usually get
  /// none.
  void sendToAll();

private:
  void send(bool ToAll);
  void receive(const char *Data, std::size_t Size);

  const Clock &Time_;
  SiteState &Site_;
  std::string OwnHost_;
  std::string OwnService_;
  DigestCallbacks Callbacks_;
  DatagramSocket Socket_;
  Instant NextSendAt_ = Instant::min();
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DIGEST_EXCHANGE_H
