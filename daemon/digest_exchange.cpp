#include "daemon/digest_exchange.h"

#include "membership/digest_recipients.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

/// Shortest interval between digests.
constexpr std::chrono::milliseconds DigestInterval{250};
/// The maximum number of digests per second, over all recipients. With many
/// recipients, the interval grows accordingly.
constexpr double MaxDigestsPerSecond = 50;
/// The same for a host with hot keys, whose digests go to all members. They
/// spare it the messages of the requests that it would reject.
constexpr double MaxHotKeyDigestsPerSecond = 100;
/// Larger records are not pushed; peers read them from the store.
constexpr std::size_t MaxPushedBytes = 8000;

} // namespace

DigestExchange::DigestExchange(IoLoop &Loop, const Clock &Time, SiteState &Site,
                               const std::string &Address, std::string OwnHost,
                               std::string OwnService,
                               DigestCallbacks Callbacks)
    : Time_(Time), Site_(Site), OwnHost_(std::move(OwnHost)),
      OwnService_(std::move(OwnService)), Callbacks_(std::move(Callbacks)),
      Socket_(Loop, Address, [this](const char *Data, std::size_t Size) {
        receive(Data, Size);
      }) {}

void DigestExchange::tick() {
  if (Time_.now() >= NextSendAt_)
    sendNow();
}

void DigestExchange::sendNow() { send(false); }

void DigestExchange::sendToAll() { send(true); }

void DigestExchange::send(bool ToAll) {
  const Instant Now = Time_.now();
  LoadDigest Digest = Callbacks_.MakeDigest_();
  const FleetMember *Own = findMember(Site_.Fleet_, OwnHost_);
  // The end of a report goes to all peers as well.
  const bool HasHotKeys = !Digest.HotKeys_.empty() ||
                          (Own != nullptr && !Own->Digest_.HotKeys_.empty());
  const std::vector<const MemberRecord *> Sample =
      digestRecipients(Site_.Fleet_, OwnHost_, isSharded(Site_, OwnService_),
                       DigestSampleOptions());
  const std::chrono::duration<double> MinInterval(
      HasHotKeys ? static_cast<double>(Site_.Fleet_.Members_.size()) /
                       MaxHotKeyDigestsPerSecond
                 : static_cast<double>(Sample.size()) / MaxDigestsPerSecond);
  const Duration Interval = std::max<Duration>(
      DigestInterval, std::chrono::duration_cast<Duration>(MinInterval));
  NextSendAt_ = Now + Interval;
  Digest.IntervalMillis_ =
      static_cast<std::uint32_t>(toMillis(Interval).count());
  applyDigest(Site_.Fleet_, Digest, Now);
  const std::string Message = encodeDigest(Digest);
  if (!ToAll && !HasHotKeys) {
    for (const MemberRecord *Recipient : Sample)
      Socket_.send(Recipient->DigestAddress_, Message);
    return;
  }
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != OwnHost_)
      Socket_.send(Member.Record_.DigestAddress_, Message);
}

void DigestExchange::pushRecord(const PushedRecord &Pushed) {
  const std::string Message = encodePushedRecord(Pushed);
  if (Message.size() > MaxPushedBytes)
    return;
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != OwnHost_)
      Socket_.send(Member.Record_.DigestAddress_, Message);
}

void DigestExchange::receive(const char *Data, std::size_t Size) {
  const std::optional<LoadDigest> Digest = decodeDigest(Data, Size);
  if (!Digest) {
    if (const auto Pushed = decodePushedRecord(Data, Size))
      Callbacks_.OnPushedRecord_(*Pushed);
    return;
  }
  applyDigest(Site_.Fleet_, *Digest, Time_.now());
  Callbacks_.OnDigest_(*Digest);
}

} // namespace lagoonhitch
