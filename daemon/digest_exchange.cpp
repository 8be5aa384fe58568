#include "daemon/digest_exchange.h"

#include "net/digest_codec.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds DigestEvery{250};
/// Digests a second that one daemon sends at most.
constexpr double MaxDigestsPerSecond = 60;

} // namespace

DigestExchange::DigestExchange(IoLoop &Loop, const Clock &Time, SiteState &Site,
                               const std::string &Address, std::string OwnHost,
                               DigestHooks Hooks)
    : Time_(Time), Site_(Site), OwnHost_(std::move(OwnHost)),
      Hooks_(std::move(Hooks)),
      Link_(Loop, Address, [this](const char *Data, std::size_t Size) {
        receive(Data, Size);
      }) {}

void DigestExchange::tick() {
  if (Time_.now() >= SendAt_)
    sendNow();
}

void DigestExchange::sendNow() {
  const Instant Now = Time_.now();
  const double Peers = static_cast<double>(Site_.Fleet_.Members_.size());
  const Duration Pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Peers / MaxDigestsPerSecond));
  SendAt_ = Now + std::max<Duration>(DigestEvery, Pause);
  const LoadDigest Digest = Hooks_.Make_();
  noteDigest(Site_.Fleet_, Digest, Now);
  const std::string Message = encodeDigest(Digest);
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != OwnHost_)
      Link_.send(Member.Record_.DigestAddress_, Message);
}

void DigestExchange::receive(const char *Data, std::size_t Size) {
  const std::optional<LoadDigest> Digest = decodeDigest(Data, Size);
  if (!Digest)
    return;
  noteDigest(Site_.Fleet_, *Digest, Time_.now());
  Hooks_.Heard_(*Digest);
}

} // namespace lagoonhitch
