#include "ownership/key_peer.h"

#include <algorithm>

namespace lagoonhitch {

const KeyPeer *findPeer(const KeyOwnershipInputs &Inputs,
                        const std::string &Host) {
  const auto Found =
      std::find_if(Inputs.Peers_.begin(), Inputs.Peers_.end(),
                   [&Host](const KeyPeer &Peer) { return Peer.Host_ == Host; });
  return Found == Inputs.Peers_.end() ? nullptr : &*Found;
}

bool acceptsKeys(const KeyOwnershipInputs &Inputs, const std::string &Host) {
  const KeyPeer *Peer = findPeer(Inputs, Host);
  return Peer != nullptr && Peer->AcceptsKeys_;
}

} // namespace lagoonhitch
