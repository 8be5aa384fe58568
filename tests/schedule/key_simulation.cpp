#include "tests/schedule/key_simulation.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr const char *TableTopic = "table";
constexpr const char *EpochTopic = "epochs";
constexpr std::chrono::milliseconds TickEvery{50};
constexpr std::chrono::milliseconds ReadEvery{60};
constexpr std::chrono::milliseconds HeardEvery{250};
constexpr std::chrono::milliseconds CallTimeout{1000};
constexpr std::chrono::milliseconds GrantTimeout{700};
constexpr double HostCapacity = 60;
/// Keys that are looked at.
constexpr KeyId KeyStep = 257;

void forget(std::vector<ModelHold> &Holds, const KeyRange &Range) {
  std::vector<ModelHold> Left;
  for (const ModelHold &Hold : Holds) {
    if (!overlaps(Hold.Range_, Range)) {
      Left.push_back(Hold);
      continue;
    }
    if (Hold.Range_.First_ < Range.First_) {
      ModelHold Part = Hold;
      Part.Range_.Last_ = Range.First_ - 1;
      Left.push_back(Part);
    }
    if (Hold.Range_.Last_ > Range.Last_) {
      ModelHold Part = Hold;
      Part.Range_.First_ = Range.Last_ + 1;
      Left.push_back(Part);
    }
  }
  Holds = std::move(Left);
}

} // namespace

KeyWorld::KeyWorld(std::uint32_t HostCount, std::uint64_t Seed)
    : Now_(std::chrono::hours(1)), Random_(Seed) {
  constexpr double MostSlowness = 0.02;
  for (std::uint32_t Number = 0; Number < HostCount; ++Number) {
    ModelHost Host;
    Host.Name_ = "host" + std::to_string(Number);
    Host.Duty_.Host_ = Host.Name_;
    Host.Upstream_.Id_ = "up" + std::to_string(Number);
    Host.Upstream_.Slowness_ =
        1 + MostSlowness * static_cast<double>(Random_() % 100) / 100;
    Host.StartedAt_ = Now_;
    for (KeyId Key = Number * 500; Key <= LastKey; Key += 4096)
      Host.KeyRates_[Key] = 1;
    Hosts_.push_back(std::move(Host));
  }
}

std::chrono::milliseconds KeyWorld::anyDelay(int Low, int High) {
  return std::chrono::milliseconds(
      Low + static_cast<int>(Random_() % static_cast<unsigned>(High - Low)));
}

void KeyWorld::at(Instant When, std::function<void()> Do) {
  Events_.emplace(When, Event{std::move(Do)});
}

void KeyWorld::after(std::chrono::milliseconds Delay,
                     std::function<void()> Do) {
  at(Now_ + Delay, std::move(Do));
}

void KeyWorld::run(std::chrono::milliseconds Span,
                   const std::vector<KeyFault> &Faults) {
  const Instant End = Now_ + Span;
  if (Events_.empty())
    for (std::size_t Number = 0; Number < Hosts_.size(); ++Number) {
      Hosts_[Number].Duty_.Options_ = Options_;
      at(Now_ + anyDelay(0, 50), [this, Number] { tickHost(Number); });
      at(Now_ + anyDelay(0, 50), [this, Number] { readTable(Number); });
    }
  for (const KeyFault &Fault : Faults)
    at(Now_ + Fault.At_, [this, Fault] { startFault(Fault); });
  while (!Events_.empty() && Events_.begin()->first <= End) {
    const auto First = Events_.begin();
    Now_ = First->first;
    const std::function<void()> Do = std::move(First->second.Do_);
    Events_.erase(First);
    Do();
  }
  Now_ = End;
}

LocalUpstream KeyWorld::upstreamOf(const ModelHost &Host) const {
  LocalUpstream Known;
  Known.Id_ = Host.Upstream_.Id_;
  Known.StartMillis_ = Host.Upstream_.Born_;
  Known.Terminated_ = !Host.Upstream_.Alive_;
  if (!Host.Upstream_.Alive_ || Host.Upstream_.Silent_)
    Known.State_ = LocalUpstream::State::Lost;
  else
    Known.State_ = Host.Upstream_.Draining_ ? LocalUpstream::State::Draining
                                            : LocalUpstream::State::Serving;
  return Known;
}

KeyOwnershipInputs KeyWorld::surroundings(std::size_t Number) const {
  const ModelHost &Self = Hosts_[Number];
  KeyOwnershipInputs Around;
  Around.KeyRates_ = &Self.KeyRates_;
  Around.Uptime_ = Now_ - Self.StartedAt_;
  for (const ModelHost &Host : Hosts_) {
    KeyPeer Peer;
    Peer.Host_ = Host.Name_;
    Peer.Upstream_ = Host.Upstream_.Id_;
    Peer.StartMillis_ = Host.Upstream_.Born_;
    Peer.Epoch_ = &Host == &Self ? Self.Duty_.Epoch_ : Host.HeardEpoch_;
    const Instant Heard = std::max(Host.HeardAt_, Self.StartedAt_);
    Peer.SinceLastContact_ =
        &Host == &Self || Self.PeersCut_ ? Duration::zero() : Now_ - Heard;
    if (Self.PeersCut_ && &Host != &Self)
      Peer.SinceLastContact_ = Now_ - Self.StartedAt_;
    Peer.AcceptsKeys_ =
        Host.Upstream_.Alive_ && !Host.Upstream_.Draining_ &&
        !Host.Upstream_.Silent_ &&
        Peer.SinceLastContact_ < std::chrono::milliseconds(1500);
    Peer.Rate_ = Host.Rate_;
    Peer.Capacity_ = HostCapacity;
    Around.Peers_.push_back(std::move(Peer));
  }
  return Around;
}

/// Runs what a daemon does as soon as it runs, unless it was killed meanwhile.
void KeyWorld::resume(std::size_t Number, std::uint64_t Life,
                      const std::function<void()> &Do) {
  ModelHost &Host = Hosts_[Number];
  if (Host.Life_ != Life || !Host.Running_)
    return;
  if (Now_ < Host.FrozenUntil_) {
    at(Host.FrozenUntil_,
       [this, Number, Life, Do] { resume(Number, Life, Do); });
    return;
  }
  Do();
}

void KeyWorld::tickHost(std::size_t Number) {
  after(TickEvery, [this, Number] { tickHost(Number); });
  ModelHost &Host = Hosts_[Number];
  if (!Host.Running_ || Now_ < Host.FrozenUntil_)
    return;
  if (!Host.PeersCut_ && Now_ - Host.HeardAt_ >= HeardEvery) {
    Host.HeardAt_ = Now_;
    Host.HeardEpoch_ = Host.Duty_.Epoch_;
  }
  onUpstream(Host.Duty_, upstreamOf(Host));
  for (const KeyAction &Action :
       onKeyTick(Host.Duty_, surroundings(Number), Now_))
    carryOut(Number, Action);
}

void KeyWorld::readTable(std::size_t Number) {
  after(ReadEvery, [this, Number] { readTable(Number); });
  ModelHost &Host = Hosts_[Number];
  const bool Reaches = Host.Running_ && Now_ >= Host.FrozenUntil_ &&
                       !Host.StoreCut_ && !Down_ && !Refuses_;
  if (!Reaches)
    return;
  const ReadReply Reply = readNewestOf(Store_, TableTopic);
  std::optional<KeyTable> Table;
  if (!Reply.Records_.empty())
    Table = decodeTable(Reply.Records_.front().Value_,
                        Reply.Records_.front().Offset_);
  const Offset End = Reply.End_;
  const std::uint64_t Life = Host.Life_;
  const std::chrono::milliseconds Behind =
      StaleReads_ ? anyDelay(500, 3000) : anyDelay(1, 12);
  after(Behind, [this, Number, Life, Table, End] {
    resume(Number, Life, [this, Number, Table, End] {
      onTable(Hosts_[Number].Duty_, Table, End, Now_);
    });
  });
}

void KeyWorld::carryOut(std::size_t Number, const KeyAction &Action) {
  ModelHost &Host = Hosts_[Number];
  const std::uint64_t Life = Host.Life_;
  const Instant SentAt = Now_;
  switch (Action.Kind_) {
  case KeyAction::Kind::AppendEpoch: {
    StoreAppend Call;
    Call.Topic_ = EpochTopic;
    Call.Producer_ = Action.Host_;
    Call.Epoch_ = Action.Epoch_;
    callStore(Number, Call,
              [this, Number, Life, Action, SentAt](AppendReply Reply) {
                resume(Number, Life, [this, Number, Action, SentAt, Reply] {
                  ModelHost &Asker = Hosts_[Number];
                  if (Action.Host_ == Asker.Name_)
                    onEpochReply(Asker.Duty_, Action.Epoch_, Reply.Kind_,
                                 SentAt, Now_);
                  else
                    onTakeoverEpochReply(Asker.Duty_, Action.Host_,
                                         Action.Epoch_, Reply.Kind_, Now_);
                });
              });
    return;
  }
  case KeyAction::Kind::AppendTable: {
    StoreAppend Call;
    Call.Topic_ = TableTopic;
    Call.At_ = Action.ExpectedEnd_;
    Call.Records_ = {{"table", encodeTable(Action.Table_), 0}};
    const std::uint64_t Append = Action.AppendId_;
    callStore(Number, Call, [this, Number, Life, Append](AppendReply Reply) {
      resume(Number, Life, [this, Number, Append, Reply] {
        onTableReply(Hosts_[Number].Duty_, Append, Reply, Now_);
      });
    });
    return;
  }
  case KeyAction::Kind::Grant:
    grantKeys(Number, Action);
    return;
  case KeyAction::Kind::Release:
    releaseKeys(Number, Action);
    return;
  }
}

void KeyWorld::callStore(std::size_t Number, const StoreAppend &Call,
                         const std::function<void(AppendReply)> &Done) {
  ModelHost &Host = Hosts_[Number];
  AppendReply Nothing;
  if (Refuses_) {
    Nothing.Kind_ = AppendReply::Kind::Rejected;
    after(anyDelay(2, 8), [Done, Nothing] { Done(Nothing); });
    return;
  }
  const auto Carry = [this, Call]() {
    const AppendReply Reply = appendTo(Store_, Call);
    TableCalls_ += Call.Topic_ == TableTopic ? 1 : 0;
    const bool NewTable =
        Call.Topic_ == TableTopic && Reply.Kind_ == AppendReply::Kind::Done;
    if (NewTable)
      checkTable(*decodeTable(Call.Records_.front().Value_, Reply.Offset_));
    return Reply;
  };
  if (Host.StoreCut_ || Down_) {
    after(CallTimeout, [Done, Nothing] { Done(Nothing); });
    return;
  }
  if (ActsLate_ && Random_() % 3 == 0) {
    after(anyDelay(1000, 6000), [Carry] { static_cast<void>(Carry()); });
    after(CallTimeout, [Done, Nothing] { Done(Nothing); });
    return;
  }
  const std::chrono::milliseconds There =
      Slow_ ? anyDelay(100, 700) : anyDelay(1, 8);
  const bool Lost = LosesAnswers_ && Random_() % 2 == 0;
  after(There, [this, Carry, Done, Lost, There, Nothing] {
    const AppendReply Reply = Carry();
    if (Lost)
      after(CallTimeout - There, [Done, Nothing] { Done(Nothing); });
    else
      after(anyDelay(1, 6), [Done, Reply] { Done(Reply); });
  });
}

void KeyWorld::checkTable(const KeyTable &Table) {
  for (const KeyRow &Row : Table.Rows_)
    for (const KeyRow &Old : Last_.Rows_) {
      if (!overlaps(Old.Range_, Row.Range_))
        continue;
      const bool Same = sameIncarnation(Old.Owner_, Row.Owner_);
      const bool Grows =
          Same ? Row.Fence_ >= Old.Fence_ : Row.Fence_ > Old.Fence_;
      if (!Grows)
        Broken_.push_back("a fence went down in the table");
    }
  Last_ = Table;
}

void KeyWorld::checkHold(const ModelHost &Host, const KeyRow &Row) {
  for (const ModelHost &Other : Hosts_) {
    if (&Other == &Host || !Other.Upstream_.Alive_)
      continue;
    for (const ModelHold &Hold : Other.Upstream_.Holds_)
      if (overlaps(Hold.Range_, Row.Range_) && Hold.Until_ > Now_)
        Broken_.push_back(Host.Name_ + " and " + Other.Name_ +
                          " hold the same keys");
    for (const ModelHold &Seen : Other.Upstream_.Seen_)
      if (overlaps(Seen.Range_, Row.Range_) && Seen.Fence_ >= Row.Fence_)
        Broken_.push_back("a fence is not above that of " + Other.Name_);
  }
}

GrantResult KeyWorld::applyGrant(ModelHost &Host, const KeyRow &Row,
                                 Instant Arrived, Duration Hold) {
  ModelUpstream &Upstream = Host.Upstream_;
  for (const ModelHold &Seen : Upstream.Seen_)
    if (overlaps(Seen.Range_, Row.Range_) && Seen.Fence_ > Row.Fence_)
      return GrantResult::HigherFence;
  const Instant Until =
      Arrived + std::chrono::duration_cast<Duration>(Hold * Upstream.Slowness_);
  if (Until > Now_)
    checkHold(Host, Row);
  forget(Upstream.Seen_, Row.Range_);
  Upstream.Seen_.push_back({Row.Range_, Row.Fence_, Until});
  forget(Upstream.Holds_, Row.Range_);
  Upstream.Holds_.push_back({Row.Range_, Row.Fence_, Until});
  return GrantResult::Granted;
}

void KeyWorld::grantKeys(std::size_t Number, const KeyAction &Action) {
  ModelHost &Host = Hosts_[Number];
  const std::uint64_t Life = Host.Life_;
  const std::int64_t Born = Host.Upstream_.Born_;
  const KeyRow Row = Action.Row_;
  const Duration Hold = Action.Hold_;
  const Instant SentAt = Now_;
  const bool Late =
      (Host.LateGrants_ && Random_() % 2 == 0) || Host.Upstream_.Silent_;
  const auto Answer = [this, Number, Life, Row, Hold,
                       SentAt](GrantResult Result) {
    resume(Number, Life, [this, Number, Row, Hold, SentAt, Result] {
      onGrantReply(Hosts_[Number].Duty_, Row, Result, SentAt, Hold, Now_);
    });
  };
  if (!Host.Upstream_.Alive_) {
    after(anyDelay(1, 3), [Answer] { Answer(GrantResult::Rejected); });
    return;
  }
  const Instant Arrived = Now_ + anyDelay(1, 4);
  const std::chrono::milliseconds Act =
      Late ? anyDelay(300, 6000) : anyDelay(4, 8);
  after(Act, [this, Number, Born, Row, Arrived, Hold, Answer, Late] {
    ModelHost &Target = Hosts_[Number];
    const bool There =
        Target.Upstream_.Alive_ && Target.Upstream_.Born_ == Born;
    const GrantResult Result =
        There ? applyGrant(Target, Row, Arrived, Hold) : GrantResult::Unknown;
    if (!Late)
      Answer(Result);
  });
  if (Late)
    after(GrantTimeout, [Answer] { Answer(GrantResult::Unknown); });
}

void KeyWorld::releaseKeys(std::size_t Number, const KeyAction &Action) {
  ModelHost &Host = Hosts_[Number];
  const std::uint64_t Life = Host.Life_;
  const KeyRow Row = Action.Row_;
  after(anyDelay(1, 4), [this, Number, Life, Row] {
    ModelHost &Target = Hosts_[Number];
    const bool Alive = Target.Upstream_.Alive_ && !Target.Upstream_.Silent_;
    if (Alive)
      forget(Target.Upstream_.Holds_, Row.Range_);
    const std::optional<std::string> Handover =
        Alive && Random_() % 8 != 0 ? std::optional<std::string>("token")
                                    : std::nullopt;
    // The work that runs ends first.
    after(anyDelay(1, 900), [this, Number, Life, Row, Handover] {
      resume(Number, Life, [this, Number, Row, Handover] {
        onReleaseReply(Hosts_[Number].Duty_, Row, Handover, Now_);
      });
    });
  });
}

void KeyWorld::killDaemon(std::size_t Number, std::chrono::milliseconds Down) {
  ModelHost &Host = Hosts_[Number];
  Host.Running_ = false;
  ++Host.Life_;
  after(Down, [this, Number] {
    ModelHost &Fresh = Hosts_[Number];
    if (Fresh.Running_)
      return;
    Fresh.Running_ = true;
    Fresh.FrozenUntil_ = Instant::min();
    Fresh.StartedAt_ = Now_;
    Fresh.Duty_ = KeyOwnershipState();
    Fresh.Duty_.Host_ = Fresh.Name_;
    Fresh.Duty_.Options_ = Options_;
    Fresh.Duty_.UnknownHoldsEnd_ = Now_ + Options_.Hold_ * 2;
  });
}

void KeyWorld::crashUpstream(std::size_t Number,
                             std::chrono::milliseconds Down) {
  ModelUpstream &Upstream = Hosts_[Number].Upstream_;
  Upstream.Alive_ = false;
  after(Down, [this, Number] {
    ModelUpstream &Fresh = Hosts_[Number].Upstream_;
    if (Fresh.Alive_)
      return;
    Fresh.Alive_ = true;
    Fresh.Draining_ = false;
    Fresh.Born_ = std::max<std::int64_t>(
        Fresh.Born_ + 1, toMillis(Now_.time_since_epoch()).count());
    Fresh.Holds_.clear();
    Fresh.Seen_.clear();
  });
}

void KeyWorld::startFault(const KeyFault &Fault) {
  const std::size_t Number = Fault.Host_ % Hosts_.size();
  ModelHost &Host = Hosts_[Number];
  const auto Switch = [this, &Fault](bool &Flag) {
    Flag = true;
    after(Fault.Length_, [&Flag] { Flag = false; });
  };
  switch (Fault.Kind_) {
  case KeyFaultKind::Freeze:
    Host.FrozenUntil_ = std::max(Host.FrozenUntil_, Now_ + Fault.Length_);
    return;
  case KeyFaultKind::Kill:
    killDaemon(Number, Fault.Length_);
    return;
  case KeyFaultKind::UpstreamCrash:
    crashUpstream(Number, Fault.Length_);
    return;
  case KeyFaultKind::PowerLoss:
    killDaemon(Number, Fault.Length_);
    crashUpstream(Number, Fault.Length_);
    return;
  case KeyFaultKind::CutFromStore:
    Switch(Host.StoreCut_);
    return;
  case KeyFaultKind::CutFromPeers:
    Switch(Host.PeersCut_);
    return;
  case KeyFaultKind::StoreDown:
    Switch(Down_);
    return;
  case KeyFaultKind::StoreRefuses:
    Switch(Refuses_);
    return;
  case KeyFaultKind::StoreSlow:
    Switch(Slow_);
    return;
  case KeyFaultKind::StoreLosesAnswers:
    Switch(LosesAnswers_);
    return;
  case KeyFaultKind::StoreActsLate:
    Switch(ActsLate_);
    return;
  case KeyFaultKind::StaleReads:
    Switch(StaleReads_);
    return;
  case KeyFaultKind::LateGrants:
    Switch(Host.LateGrants_);
    return;
  case KeyFaultKind::Drain:
    Switch(Host.Upstream_.Draining_);
    return;
  case KeyFaultKind::KillAll:
    for (std::size_t Each = 0; Each < Hosts_.size(); ++Each)
      killDaemon(Each, Fault.Length_);
    return;
  case KeyFaultKind::UpstreamSilent:
    Switch(Host.Upstream_.Silent_);
    return;
  case KeyFaultKind::HotKeys: {
    Host.Rate_ = HostCapacity * 2;
    after(Fault.Length_, [this, Number] { Hosts_[Number].Rate_ = 20; });
    return;
  }
  }
}

std::size_t KeyWorld::heldKeys() const {
  std::size_t Count = 0;
  for (KeyId Key = 0; Key <= LastKey; Key += KeyStep) {
    const bool Held = std::any_of(
        Hosts_.begin(), Hosts_.end(), [this, Key](const ModelHost &Host) {
          return Host.Upstream_.Alive_ &&
                 std::any_of(
                     Host.Upstream_.Holds_.begin(), Host.Upstream_.Holds_.end(),
                     [this, Key](const ModelHold &Hold) {
                       return contains(Hold.Range_, Key) && Hold.Until_ > Now_;
                     });
        });
    if (Held)
      ++Count;
  }
  return Count;
}

std::size_t KeyWorld::tables() const {
  const auto Found = Store_.Topics_.find(TableTopic);
  return Found == Store_.Topics_.end() ? 0 : Found->second.Records_.size();
}

} // namespace lagoonhitch
