#include "daemon/digest_exchange.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds DigestEvery{250};
/// Digests a second that one daemon sends at most.
constexpr double MaxDigestsPerSecond = 60;
/// Larger records are read from the store instead.
constexpr std::size_t MaxPassedBytes = 8000;

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
  sendToAll(encodeDigest(Digest));
}

void DigestExchange::pass(const PassedRecord &Passed) {
  const std::string Message = encodePassedRecord(Passed);
  if (Message.size() <= MaxPassedBytes)
    sendToAll(Message);
}

void DigestExchange::sendToAll(const std::string &Message) {
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != OwnHost_)
      Link_.send(Member.Record_.DigestAddress_, Message);
}

void DigestExchange::receive(const char *Data, std::size_t Size) {
  const std::optional<LoadDigest> Digest = decodeDigest(Data, Size);
  if (!Digest) {
    if (const auto Passed = decodePassedRecord(Data, Size))
      Hooks_.Passed_(*Passed);
    return;
  }
  noteDigest(Site_.Fleet_, *Digest, Time_.now());
  Hooks_.Heard_(*Digest);
}

} // namespace lagoonhitch
