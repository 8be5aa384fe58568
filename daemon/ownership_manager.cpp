#include "daemon/ownership_manager.h"

#include "core/scoped_flag.h"
#include "daemon/site_watcher.h"
#include "net/http_client.h"
#include "ownership/table_restoration.h"
#include "platform/platform_codec.h"
#include "store/store.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds GrantTimeout{700};
/// The upstream answers a release only when its running requests for the keys
/// have ended.
constexpr std::chrono::milliseconds ReleaseTimeout{4000};
/// Time after a gain of keys until the host's load reflects them.
constexpr std::chrono::milliseconds LoadSettleTime{1500};
/// Age of the last load digest from which a host gets no keys.
constexpr std::chrono::milliseconds MaxDigestAge{1500};
/// Digests carry rates in hundredths of a request per second.
constexpr double KeyRateUnit = 0.01;

/// Time between two updates of the hot keys.
constexpr std::chrono::milliseconds HotKeyInterval{100};

/// Returns the requests per second that a host can handle.
double capacityOf(const LoadDigest &Digest) {
  constexpr double MillisPerSecond = 1000;
  const double ProcessingMillis = std::max<double>(Digest.ProcessingMillis_, 1);
  const double BySlots =
      std::max(1.0, Digest.Slots_ * MillisPerSecond / ProcessingMillis);
  return Digest.RateLimit_ > 0 ? std::min<double>(BySlots, Digest.RateLimit_)
                               : BySlots;
}

std::string describe(KeyId Key, const HotKeyReport &Report) {
  const ReportedHotKey &Hot = Report.Keys_.at(Key);
  return std::to_string(Key) + ", admits " +
         std::to_string(std::lround(Hot.Admitted_)) + " of " +
         std::to_string(std::lround(Hot.Requested_)) + " requests/s";
}

} // namespace

OwnershipManager::OwnershipManager(const Clock &Time, Store &KeyStore,
                                   HttpClient &UpstreamClient,
                                   const SiteState &Site,
                                   OwnershipManagerConfig Config,
                                   KeyOwnershipOptions Options,
                                   OwnershipCallbacks Callbacks)
    : Time_(Time), KeyStore_(KeyStore), UpstreamClient_(UpstreamClient),
      Site_(Site), Config_(std::move(Config)), Callbacks_(std::move(Callbacks)),
      StartedAt_(Time.now()), ContactClock_{StartedAt_, StartedAt_} {
  State_.Host_ = Config_.Host_;
  State_.Options_ = Options;
  State_.EarlierProcessGrantsEnd_ =
      StartedAt_ + std::max(Options.Hold_, Options.DeclaredHold_) * 2;
}

void OwnershipManager::onTable(const std::optional<KeyTable> &Table,
                               Offset End) {
  lagoonhitch::onTable(State_, Table, End, Time_.now());
  onOwnershipChanged();
  tick();
}

void OwnershipManager::onStoreEra(StoreEra Era) {
  lagoonhitch::onStoreEra(State_, Era, Time_.now());
  Callbacks_.OnChanged_();
}

void OwnershipManager::onUpstreamChanged(const LocalUpstream &Upstream) {
  lagoonhitch::onUpstream(State_, Upstream);
  tick();
}

void OwnershipManager::onHoldReport(const HoldReport &Report) {
  lagoonhitch::onHoldReport(State_, Report);
  tick();
}

std::optional<HoldDeclaration>
OwnershipManager::declareHolds(Instant ReceivedAt) {
  if (!usesHeartbeatReplies())
    return std::nullopt;
  std::optional<HoldDeclaration> Declaration =
      lagoonhitch::declareHolds(State_, ReceivedAt, Time_.now());
  // Requests may wait for keys that are declared for the first time.
  Callbacks_.OnChanged_();
  return Declaration;
}

bool OwnershipManager::usesHeartbeatReplies() const {
  return isSharded(Site_, Config_.Service_) &&
         grantMethod(Site_, Config_.Service_) == GrantMethod::HeartbeatReplies;
}

bool OwnershipManager::needsDeclaration() const {
  return lagoonhitch::needsDeclaration(State_, Time_.now());
}

void OwnershipManager::updateGrantMethod() {
  State_.GrantMethod_ = grantMethod(Site_, Config_.Service_);
}

bool OwnershipManager::serves(KeyId Key) const {
  return canServeKey(State_, Key, Time_.now());
}

void OwnershipManager::countRequest(KeyId Key) {
  lagoonhitch::countRequest(KeyRates_, Key, Time_.now());
}

std::optional<double> OwnershipManager::rateBesideHotKey(KeyId Key) const {
  if (!isHot(HotKeys_, Key))
    return std::nullopt;
  return std::max(requestRate() - rateOf(KeyRates_, Key), 0.0);
}

/// Updates which keys are hot, and logs those that have begun or ceased to be.
void OwnershipManager::updateHotKeys(Instant Now) {
  const FleetMember *Own = findMember(Site_.Fleet_, Config_.Host_);
  const bool Due = HotKeys_.UpdatedAt_ == Instant::min() ||
                   Now - HotKeys_.UpdatedAt_ >= HotKeyInterval;
  if (Own == nullptr || Own->Digest_.Slots_ == 0 || !Due)
    return;
  const HotKeyChanges Changes = lagoonhitch::updateHotKeys(
      HotKeys_, KeyRates_, capacityOf(Own->Digest_), Now);
  for (const KeyId Key : Changes.Begun_)
    Callbacks_.LogEvent_(EventId::KeyHot, describe(Key, HotKeys_));
  for (const KeyId Key : Changes.Ended_)
    Callbacks_.LogEvent_(EventId::KeyCooled, std::to_string(Key));
}

bool OwnershipManager::recentlyGainedKeys() const {
  return LastGainAt_ != Instant::min() &&
         Time_.now() - LastGainAt_ < LoadSettleTime;
}

/// Returns whether a host has gained keys with a table at or after an offset.
/// The load in its last digest does not reflect them.
bool OwnershipManager::gainedSince(const std::string &Host, Offset End) const {
  const auto Gained = LastGains_.find(Host);
  return Gained != LastGains_.end() && Gained->second > End;
}

KeyOwnershipInputs OwnershipManager::inputs() const {
  const Instant Now = Time_.now();
  KeyOwnershipInputs Inputs;
  Inputs.KeyRates_ = &KeyRates_.Rates_;
  if (LastGainAt_ != Instant::min())
    Inputs.SinceLastGain_ = Now - LastGainAt_;
  const FleetMember *Own = findMember(Site_.Fleet_, Config_.Host_);
  Inputs.Uptime_ = Now - ContactClock_.ListeningSince_;
  Inputs.ContactTimeout_ = contactTimeout(nullptr, Own);
  for (const auto &[Host, Member] : Site_.Fleet_.Members_) {
    if (Member.Record_.Service_ != Config_.Service_)
      continue;
    KeyPeer Peer;
    Peer.Host_ = Host;
    Peer.Upstream_ = Member.Record_.Upstream_;
    Peer.StartMillis_ = Member.Record_.StartMillis_;
    Peer.Epoch_ = Member.Digest_.KeyEpoch_;
    Peer.RecentlyGainedKeys_ = Member.Digest_.RecentlyGainedKeys_ ||
                               gainedSince(Host, Member.Digest_.TableEnd_);
    Peer.AcceptsKeys_ =
        acceptsRequests(Site_.Fleet_, Member) && Member.Digest_.Accepting_ &&
        !Member.Digest_.Stopping_ && hasRecentDigest(Member, MaxDigestAge, Now);
    Peer.SinceLastContact_ = silenceOf(ContactClock_, Member, Now);
    Peer.ContactTimeout_ = contactTimeout(&Member, Own);
    Peer.Rate_ = Member.Digest_.KeyRate_ * KeyRateUnit;
    Peer.Capacity_ = capacityOf(Member.Digest_);
    if (Host == Config_.Host_) {
      Peer.Epoch_ = State_.Epoch_;
      // The last digest may be seconds old on a large site.
      Peer.Rate_ = requestRate();
      Peer.RecentlyGainedKeys_ = recentlyGainedKeys();
    }
    Inputs.Peers_.push_back(std::move(Peer));
  }
  return Inputs;
}

void OwnershipManager::tick() {
  // An action may complete at once and call tick() again.
  if (Ticking_)
    return;
  const ScopedFlag Guard(Ticking_);
  const Instant Now = Time_.now();
  tickContactClock(ContactClock_, Now);
  decayRates(KeyRates_, Now);
  updateGrantMethod();
  updateHotKeys(Now);
  if (!isSharded(Site_, Config_.Service_))
    return;
  for (const KeyAction &Action : onKeyTick(State_, inputs(), Now)) {
    try {
      execute(Action);
    } catch (const std::exception &Failure) {
      Callbacks_.LogEvent_(EventId::HandlerFailed, Failure.what());
      onNotExecuted(Action);
    }
  }
}

void OwnershipManager::execute(const KeyAction &Action) {
  switch (Action.Kind_) {
  case KeyAction::Kind::AppendEpoch:
    appendEpoch(Action);
    return;
  case KeyAction::Kind::AppendTable:
    appendTable(Action);
    return;
  case KeyAction::Kind::Grant:
    grant(Action);
    return;
  case KeyAction::Kind::Release:
    release(Action);
    return;
  }
}

/// Reports an action that failed before its call was sent, or during it.
/// Without a result it would count as in flight for ever.
void OwnershipManager::onNotExecuted(const KeyAction &Action) {
  const Instant Now = Time_.now();
  AppendReply Unknown;
  switch (Action.Kind_) {
  case KeyAction::Kind::AppendEpoch:
    if (Action.Host_ == Config_.Host_)
      onEpochReply(State_, Action.Epoch_, Unknown.Kind_, Now, Now);
    else
      onTakeoverEpochReply(State_, Action.Host_, Action.Epoch_, Unknown.Kind_,
                           Now);
    return;
  case KeyAction::Kind::AppendTable:
    onTableReply(State_, Action.AppendId_, Unknown, Now);
    return;
  case KeyAction::Kind::Grant:
    onGrantReply(State_, Action.Row_, GrantResult::Unknown, Now, Action.Hold_,
                 Now);
    return;
  case KeyAction::Kind::Release:
    onReleaseReply(State_, Action.Row_, std::nullopt, Now);
    return;
  }
}

void OwnershipManager::appendEpoch(const KeyAction &Action) {
  const Instant SentAt = Time_.now();
  const std::string Host = Action.Host_;
  const std::uint64_t Epoch = Action.Epoch_;
  const bool Own = Host == Config_.Host_;
  if (!Own)
    Callbacks_.LogEvent_(EventId::TakeoverStarted, Host);
  KeyStore_.appendEpoch(
      Host, Epoch, [this, Host, Epoch, SentAt, Own](const AppendReply &Reply) {
        const Instant Now = Time_.now();
        if (Own)
          onEpochReply(State_, Epoch, Reply.Kind_, SentAt, Now);
        else
          onTakeoverEpochReply(State_, Host, Epoch, Reply.Kind_, Now);
        if (Reply.Kind_ == AppendReply::Kind::Fenced)
          Callbacks_.LogEvent_(EventId::LeaseLapsed,
                               Host + " epoch " + std::to_string(Epoch));
        tick();
      });
}

void OwnershipManager::appendTable(const KeyAction &Action) {
  const std::uint64_t Number = Action.AppendId_;
  KeyStore_.append(tableTopic(Config_.Service_), TableKey,
                   encodeTable(Action.Table_), Action.ExpectedEnd_,
                   [this, Number](const AppendReply &Reply) {
                     onTableAppended(Number, Reply);
                   });
}

void OwnershipManager::onTableAppended(std::uint64_t Number,
                                       const AppendReply &Reply) {
  onTableReply(State_, Number, Reply, Time_.now());
  const bool Applied = Reply.Kind_ == AppendReply::Kind::Done &&
                       State_.Table_.Offset_ == Reply.Offset_;
  if (Applied) {
    Callbacks_.LogEvent_(EventId::TableChanged, std::to_string(Reply.Offset_));
    Callbacks_.OnTableAppended_(State_.Table_);
  }
  if (Reply.Kind_ == AppendReply::Kind::Conflict)
    Callbacks_.OnTableBehind_(Reply.End_);
  onOwnershipChanged();
  tick();
}

/// Returns the options of a call to the upstream. The connections are shared
/// with requests, so a late response to one of these must not pass for the
/// response to the call.
HttpCallOptions OwnershipManager::callOptions(Duration Timeout) const {
  HttpCallOptions Call;
  Call.Timeout_ = Timeout;
  Call.EchoHeader_ = Config_.Names_.RequestId_;
  Call.NotRunHeader_ = Config_.Names_.NotRun_;
  return Call;
}

void OwnershipManager::grant(const KeyAction &Action) {
  const Instant SentAt = Time_.now();
  const KeyRow Row = Action.Row_;
  const Duration Hold = Action.Hold_;
  HttpCallOptions Call = callOptions(GrantTimeout);
  Call.SendBy_ = Action.SendBy_;
  HttpRequest Request = encodeGrant(Row, Hold);
  // The next process at this address must not take keys with this token.
  Request.Headers_.push_back(
      {Config_.Names_.TargetUpstream_, Row.Owner_.Upstream_});
  UpstreamClient_.send(Config_.UpstreamAddress_, std::move(Request), Call,
                       [this, Row, Hold, SentAt](const HttpResult &Result) {
                         onGrantReply(State_, Row, grantResult(Result), SentAt,
                                      Hold, Time_.now());
                         onOwnershipChanged();
                         tick();
                       });
}

void OwnershipManager::release(const KeyAction &Action) {
  const KeyRow Row = Action.Row_;
  Callbacks_.LogEvent_(EventId::ReleaseStarted,
                       std::to_string(Row.Range_.First_) + "-" +
                           std::to_string(Row.Range_.Last_));
  UpstreamClient_.send(Config_.UpstreamAddress_, encodeRelease(Row),
                       callOptions(ReleaseTimeout),
                       [this, Row](const HttpResult &Result) {
                         std::optional<std::string> Handover;
                         if (Result.Status_ == HttpCallStatus::Completed)
                           Handover = handoverData(Result.Response_);
                         onReleaseReply(State_, Row, Handover, Time_.now());
                         tick();
                       });
}

void OwnershipManager::onTableChanged() {
  KnownTable_ = State_.Table_.Offset_;
  // Otherwise this host would seem to have the load of keys that other hosts
  // own now for seconds, and move more keys.
  keepKeys(KeyRates_, [this](KeyId Key) { return ownsKey(State_, Key); });
  std::vector<KeyRow> OwnRows = rowsOf(State_.Table_, Config_.Host_);
  for (const KeyRange &Gained : keysNotIn(OwnRows_, OwnRows))
    onKeysGained(KeyRates_, Gained, Time_.now());
  OwnRows_ = std::move(OwnRows);
  LastGains_.clear();
  for (const KeyRow &Row : State_.Table_.Rows_) {
    Offset &Last = LastGains_[Row.Owner_.Host_];
    Last = std::max(Last, Row.Fence_);
  }
}

void OwnershipManager::onOwnershipChanged() {
  std::size_t Owned = 0;
  for (const KeyRow &Row : rowsOf(State_.Table_, Config_.Host_))
    Owned += sizeOf(Row.Range_);
  if (Owned > OwnedKeyCount_)
    LastGainAt_ = Time_.now();
  OwnedKeyCount_ = Owned;
  if (KnownTable_ != State_.Table_.Offset_)
    onTableChanged();
  Callbacks_.OnChanged_();
}

} // namespace lagoonhitch
