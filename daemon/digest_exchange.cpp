#include "daemon/digest_exchange.h"

#include "membership/digest_recipients.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds DigestEvery{250};
/// Digests a second that one daemon sends at most.
constexpr double MaxDigestsPerSecond = 50;
/// Larger records are read from the store instead.
constexpr std::size_t MaxPassedBytes = 8000;

} // namespace

DigestExchange::DigestExchange(IoLoop &Loop, const Clock &Time, SiteState &Site,
                               const std::string &Address, std::string OwnHost,
                               std::string OwnService, DigestHooks Hooks)
    : Time_(Time), Site_(Site), OwnHost_(std::move(OwnHost)),
      OwnService_(std::move(OwnService)), Hooks_(std::move(Hooks)),
      Link_(Loop, Address, [this](const char *Data, std::size_t Size) {
        receive(Data, Size);
      }) {}

void DigestExchange::tick() {
  if (Time_.now() >= SendAt_)
    sendNow();
}

void DigestExchange::sendNow() {
  const Instant Now = Time_.now();
  const std::vector<const MemberRecord *> Audience =
      digestRecipients(Site_.Fleet_, OwnHost_, isDivided(Site_, OwnService_),
                       DigestSampleOptions());
  const std::chrono::duration<double> Busy(
      static_cast<double>(Audience.size()) / MaxDigestsPerSecond);
  const Duration Pause = std::max<Duration>(
      DigestEvery, std::chrono::duration_cast<Duration>(Busy));
  SendAt_ = Now + Pause;
  LoadDigest Digest = Hooks_.Make_();
  Digest.IntervalMillis_ = static_cast<std::uint32_t>(toMillis(Pause).count());
  applyDigest(Site_.Fleet_, Digest, Now);
  const std::string Message = encodeDigest(Digest);
  for (const MemberRecord *Listener : Audience)
    Link_.send(Listener->DigestAddress_, Message);
}

void DigestExchange::pass(const PassedRecord &Passed) {
  const std::string Message = encodePassedRecord(Passed);
  if (Message.size() > MaxPassedBytes)
    return;
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
  applyDigest(Site_.Fleet_, *Digest, Time_.now());
  Hooks_.Heard_(*Digest);
}

} // namespace lagoonhitch
