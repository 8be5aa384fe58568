#include "daemon/peer_clocks.h"

namespace lagoonhitch {

void PeerClocks::note(const std::string &Peer, const PeerStamp &Stamp,
                      Instant Now) {
  Peers_[Peer] = {Stamp.Process_, Stamp.Now_ - Now};
}

std::optional<PeerStamp> PeerClocks::estimate(const std::string &Peer,
                                              Instant Now) const {
  const std::map<std::string, Entry>::const_iterator Found = Peers_.find(Peer);
  if (Found == Peers_.end())
    return std::nullopt;
  return PeerStamp{Found->second.Process_, Now + Found->second.Offset_};
}

} // namespace lagoonhitch
