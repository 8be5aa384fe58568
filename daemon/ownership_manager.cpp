#include "daemon/ownership_manager.h"

#include "daemon/site_watcher.h"
#include "net/http_client.h"
#include "platform/platform_codec.h"
#include "store/store.h"

#include <cmath>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds GrantTimeout{700};
/// A release is answered when the work that runs has ended.
constexpr std::chrono::milliseconds ReleaseTimeout{4000};
constexpr std::chrono::milliseconds DecayEvery{200};
/// Time in which a key's rate falls to about a third.
constexpr std::chrono::milliseconds RateMemory{2500};
constexpr double SmallestRate = 0.02;
/// How long after a gain the load says little.
constexpr std::chrono::milliseconds SettleFor{1500};
/// Silence after which a host gets no keys.
constexpr std::chrono::milliseconds FreshFor{1500};
constexpr double Hundredth = 0.01;

double capacityOf(const LoadDigest &Digest) {
  if (Digest.ColdRate_ > 0)
    return Digest.ColdRate_;
  constexpr double MillisPerSecond = 1000;
  const double Work = std::max<double>(Digest.ProcessingMillis_, 1);
  return std::max(1.0, Digest.Slots_ * MillisPerSecond / Work);
}

} // namespace

KeyKeeper::KeyKeeper(const Clock &Time, Store &Keys, HttpClient &Upstreams,
                     const SiteState &Site, KeyKeeperPlace Place,
                     KeyOwnershipOptions Options, KeyReports Reports)
    : Time_(Time), Keys_(Keys), Upstreams_(Upstreams), Site_(Site),
      Place_(std::move(Place)), Reports_(std::move(Reports)),
      StartedAt_(Time.now()), DecayedAt_(StartedAt_) {
  Duty_.Host_ = Place_.Host_;
  Duty_.Options_ = Options;
  Duty_.UnknownHoldsEnd_ = StartedAt_ + Duty_.Options_.Hold_ * 2;
}

void KeyKeeper::onTable(const std::optional<KeyTable> &Table, Offset End) {
  lagoonhitch::onTable(Duty_, Table, End, Time_.now());
  noteChange();
  tick();
}

void KeyKeeper::onUpstream(const LocalUpstream &Upstream) {
  lagoonhitch::onUpstream(Duty_, Upstream);
  tick();
}

bool KeyKeeper::serves(KeyId Key) const {
  return canServeKey(Duty_, Key, Time_.now());
}

void KeyKeeper::count(KeyId Key) {
  const double PerSecond =
      1.0 / std::chrono::duration<double>(RateMemory).count();
  KeyRates_[Key] += PerSecond;
  Rate_ += PerSecond;
}

void KeyKeeper::decayRates(Instant Now) {
  if (Now - DecayedAt_ < DecayEvery)
    return;
  const double Part =
      std::exp(-std::chrono::duration<double>(Now - DecayedAt_).count() /
               std::chrono::duration<double>(RateMemory).count());
  DecayedAt_ = Now;
  Rate_ *= Part;
  for (auto &[Key, Rate] : KeyRates_)
    Rate *= Part;
  std::erase_if(KeyRates_,
                [](const auto &Entry) { return Entry.second < SmallestRate; });
}

bool KeyKeeper::isSettling() const {
  return GainedAt_ != Instant::min() && Time_.now() - GainedAt_ < SettleFor;
}

KeyOwnershipInputs KeyKeeper::surroundings() const {
  const Instant Now = Time_.now();
  KeyOwnershipInputs Around;
  Around.KeyRates_ = &KeyRates_;
  Around.Uptime_ = Now - StartedAt_;
  for (const auto &[Host, Member] : Site_.Fleet_.Members_) {
    if (Member.Record_.Service_ != Place_.Service_)
      continue;
    KeyPeer Peer;
    Peer.Host_ = Host;
    Peer.Upstream_ = Member.Record_.Upstream_;
    Peer.StartMillis_ = Member.Record_.StartMillis_;
    Peer.Epoch_ = Member.Digest_.KeyEpoch_;
    Peer.RecentlyGainedKeys_ = Member.Digest_.RecentlyGainedKeys_;
    Peer.AcceptsKeys_ =
        acceptsRequests(Site_.Fleet_, Member) && Member.Digest_.Accepting_ &&
        !Member.Digest_.Stopping_ && hasRecentDigest(Member, FreshFor, Now);
    Peer.SinceLastContact_ =
        Now - std::max({Member.LastDigestAt_, Member.FirstSeenAt_, StartedAt_});
    Peer.ContactTimeout_ = digestTimeout(Member, Duration());
    Peer.Rate_ = Member.Digest_.KeyRate_ * Hundredth;
    Peer.Capacity_ = capacityOf(Member.Digest_);
    if (Host == Place_.Host_)
      Peer.Epoch_ = Duty_.Epoch_;
    Around.Peers_.push_back(std::move(Peer));
  }
  return Around;
}

void KeyKeeper::tick() {
  // Actions may end at once and ask for another tick.
  if (Ticking_)
    return;
  Ticking_ = true;
  const Instant Now = Time_.now();
  decayRates(Now);
  if (isDivided(Site_, Place_.Service_))
    carryOut(onKeyTick(Duty_, surroundings(), Now));
  Ticking_ = false;
}

void KeyKeeper::carryOut(const KeyActions &Actions) {
  for (const KeyAction &Action : Actions) {
    switch (Action.Kind_) {
    case KeyAction::Kind::AppendEpoch:
      showEpoch(Action);
      break;
    case KeyAction::Kind::AppendTable:
      appendTable(Action);
      break;
    case KeyAction::Kind::Grant:
      grant(Action);
      break;
    case KeyAction::Kind::Release:
      release(Action);
      break;
    }
  }
}

void KeyKeeper::showEpoch(const KeyAction &Action) {
  const Instant SentAt = Time_.now();
  const std::string Host = Action.Host_;
  const std::uint64_t Epoch = Action.Epoch_;
  const bool Own = Host == Place_.Host_;
  if (!Own)
    Reports_.Event_(EventId::TakeoverStarted, Host);
  Keys_.appendEpoch(
      Host, Epoch, [this, Host, Epoch, SentAt, Own](const AppendReply &Reply) {
        const Instant Now = Time_.now();
        if (Own)
          onEpochReply(Duty_, Epoch, Reply.Kind_, SentAt, Now);
        else
          onTakeoverEpochReply(Duty_, Host, Epoch, Reply.Kind_, Now);
        if (Reply.Kind_ == AppendReply::Kind::Fenced)
          Reports_.Event_(EventId::LeaseLapsed,
                          Host + " epoch " + std::to_string(Epoch));
        tick();
      });
}

void KeyKeeper::appendTable(const KeyAction &Action) {
  const std::uint64_t Number = Action.AppendId_;
  Keys_.append(tableTopic(Place_.Service_), TableKey,
               encodeTable(Action.Table_), Action.ExpectedEnd_,
               [this, Number](const AppendReply &Reply) {
                 onTableAppended(Number, Reply);
               });
}

void KeyKeeper::onTableAppended(std::uint64_t Number,
                                const AppendReply &Reply) {
  onTableReply(Duty_, Number, Reply, Time_.now());
  const bool Taken = Reply.Kind_ == AppendReply::Kind::Done &&
                     Duty_.Table_.Offset_ == Reply.Offset_;
  if (Taken) {
    Reports_.Event_(EventId::TableChanged, std::to_string(Reply.Offset_));
    Reports_.Table_(Duty_.Table_);
  }
  if (Reply.Kind_ == AppendReply::Kind::Conflict)
    Reports_.Behind_(Reply.End_);
  noteChange();
  tick();
}

void KeyKeeper::grant(const KeyAction &Action) {
  const Instant SentAt = Time_.now();
  const KeyRow Row = Action.Row_;
  const Duration Hold = Action.Hold_;
  HttpCallOptions Call;
  Call.Timeout_ = GrantTimeout;
  Upstreams_.send(Place_.UpstreamAddress_, encodeGrant(Row, Hold), Call,
                  [this, Row, Hold, SentAt](const HttpResult &Result) {
                    GrantResult Ended = GrantResult::Unknown;
                    if (Result.Status_ == HttpStatus::NotSent)
                      Ended = GrantResult::Rejected;
                    else if (Result.Status_ == HttpStatus::Answered)
                      Ended = Result.Response_.Status_ == 200
                                  ? GrantResult::Granted
                              : Result.Response_.Status_ == 409
                                  ? GrantResult::HigherFence
                                  : GrantResult::Rejected;
                    onGrantReply(Duty_, Row, Ended, SentAt, Hold, Time_.now());
                    noteChange();
                    tick();
                  });
}

void KeyKeeper::release(const KeyAction &Action) {
  const KeyRow Row = Action.Row_;
  Reports_.Event_(EventId::ReleaseStarted,
                  std::to_string(Row.Range_.First_) + "-" +
                      std::to_string(Row.Range_.Last_));
  HttpCallOptions Call;
  Call.Timeout_ = ReleaseTimeout;
  Upstreams_.send(Place_.UpstreamAddress_, encodeRelease(Row), Call,
                  [this, Row](const HttpResult &Result) {
                    std::optional<std::string> Handover;
                    if (Result.Status_ == HttpStatus::Answered &&
                        Result.Response_.Status_ == 200)
                      Handover = handoverOf(Result.Response_);
                    onReleaseReply(Duty_, Row, Handover, Time_.now());
                    tick();
                  });
}

void KeyKeeper::noteChange() {
  std::size_t Owned = 0;
  for (const KeyRow &Row : rowsOf(Duty_.Table_, Place_.Host_))
    Owned += sizeOf(Row.Range_);
  if (Owned > OwnedKeys_)
    GainedAt_ = Time_.now();
  OwnedKeys_ = Owned;
  Reports_.Changed_();
}

} // namespace lagoonhitch
