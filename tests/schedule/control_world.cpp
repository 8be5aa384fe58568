#include "tests/schedule/control_world.h"

#include <algorithm>
#include <sstream>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds Step{10};
constexpr std::chrono::milliseconds TickEvery{50};
constexpr const char *ServiceName = "katalog";
constexpr std::size_t RecordsKept = 120;

} // namespace

ControlWorld::ControlWorld(std::uint32_t Nodes, std::uint32_t Shards)
    : ShardCount_(Shards), Now_(std::chrono::seconds(1000)), Random_(1),
      LastServed_(Shards, Now_) {
  for (std::uint32_t Index = 0; Index < Nodes; ++Index) {
    Node One;
    One.Name_ = "n" + std::to_string(Index);
    One.NextTick_ = Now_;
    One.NextRead_ = Now_;
    One.State_.Identity_.Zone_ = "z" + std::to_string(Index % 3);
    resetNode(One);
    Nodes_.push_back(std::move(One));
  }
}

void ControlWorld::seed(std::uint64_t Seed) {
  Random_.seed(Seed);
  History_ = History();
  Open_.clear();
  Trace_.clear();
  LongestGap_ = std::chrono::milliseconds(0);
  std::fill(LastServed_.begin(), LastServed_.end(), Now_);
  for (Node &One : Nodes_) {
    // Keeps the local time continuous under the new rate.
    const Instant Before = localTime(One);
    One.Rate_ = 1 + (static_cast<double>(Random_() % 2001) - 1000) / 100000;
    One.Offset_ += Before - localTime(One);
  }
}

void ControlWorld::schedule(const Fault &One) {
  Faults_.emplace_back(Now_ + One.At_, One);
}

void ControlWorld::run(std::chrono::milliseconds Span) {
  const Instant End = Now_ + Span;
  while (Now_ < End)
    step();
}

void ControlWorld::append(Record::Body Body) {
  Record Entry;
  Entry.Id_ = "test-" + std::to_string(Log_.size());
  Entry.Body_ = std::move(Body);
  Log_.emplace_back(Log_.size(), std::move(Entry));
}

void ControlWorld::inject(const LeaseMessage &Message) {
  const std::size_t Index = nodeOf(Message.To_);
  ControlActions Actions;
  onMessage(Nodes_[Index].State_, Message, localTime(Nodes_[Index]), Actions);
  carryOut(Index, Actions);
}

void ControlWorld::cutFromLog(std::size_t Node,
                              std::chrono::milliseconds Span) {
  Nodes_[Node].CutUntil_ = Now_ + Span;
}

void ControlWorld::cutLink(std::size_t One, std::size_t Other,
                           std::chrono::milliseconds Span) {
  CutLinks_.push_back({One, Other, Now_ + Span});
  CutLinks_.push_back({Other, One, Now_ + Span});
}

void ControlWorld::pause(std::size_t Node, std::chrono::milliseconds Span) {
  Nodes_[Node].PausedUntil_ = Now_ + Span;
}

void ControlWorld::lose(std::size_t Node) {
  Ghosts_.push_back(Nodes_[Node]);
  resetNode(Nodes_[Node]);
  Nodes_[Node].PausedUntil_ = Instant::max();
}

bool ControlWorld::runUntil(const std::function<bool()> &Condition,
                            std::chrono::milliseconds Limit) {
  const Instant End = Now_ + Limit;
  while (!Condition() && Now_ < End)
    step();
  return Condition();
}

std::size_t ControlWorld::nodeOf(MemberId Id) {
  return static_cast<std::size_t>(findNode(Id) - Nodes_.data());
}

Instant ControlWorld::localTime(const Node &One) const {
  return Instant(std::chrono::duration_cast<Duration>(Now_.time_since_epoch() *
                                                      One.Rate_)) +
         One.Offset_;
}

std::chrono::milliseconds ControlWorld::randomMillis(int Low, int High) {
  return std::chrono::milliseconds(
      Low +
      static_cast<int>(Random_() % static_cast<unsigned>(High - Low + 1)));
}

bool ControlWorld::chance(int Percent) {
  return static_cast<int>(Random_() % 100) < Percent;
}

void ControlWorld::resetNode(Node &One) {
  ControlState Fresh;
  Fresh.Identity_.Host_ = One.Name_;
  Fresh.Identity_.Zone_ = One.State_.Identity_.Zone_;
  Fresh.Identity_.Nonce_ = NextNonce_++ * 1000003;
  Fresh.Options_.CheckpointEvery_ = 30;
  Fresh.Options_.CheckpointInterval_ = std::chrono::seconds(5);
  Fresh.Options_.EvictAfter_ = std::chrono::seconds(3);
  Fresh.Options_.Plan_.Services_ = {{ServiceName, ShardCount_}};
  Fresh.Options_.Plan_.MaxMovesInFlight_ = 4;
  Fresh.Slots_[ServiceName] = 4;
  One.State_ = std::move(Fresh);
  One.Draining_.clear();
  One.View_ = makeView(One.State_);
}

const Table &ControlWorld::freshestTable() const {
  const Node &Freshest = *std::max_element(
      Nodes_.begin(), Nodes_.end(), [](const Node &A, const Node &B) {
        return tableOf(A.State_).Next_ < tableOf(B.State_).Next_;
      });
  return tableOf(Freshest.State_);
}

std::size_t ControlWorld::resolveRole(const Fault &One) {
  const std::size_t Focus = One.Node_ % Nodes_.size();
  const Table &Known = freshestTable();
  const Member *Found = findMember(Known, Nodes_[Focus].State_.Self_);
  MemberId Wanted = NoMember;
  if (One.Role_ == FaultRole::Planner && !Known.Members_.empty())
    Wanted = Known.Members_.begin()->first;
  if (Found != nullptr && One.Role_ == FaultRole::Heir)
    Wanted = Found->Seats_.Heir_;
  if (Found != nullptr && One.Role_ == FaultRole::Witness &&
      !Found->Seats_.Witnesses_.empty())
    Wanted =
        Found->Seats_.Witnesses_[One.Choice_ % Found->Seats_.Witnesses_.size()];
  const Node *Hit = Wanted == NoMember ? nullptr : findNode(Wanted);
  return Hit == nullptr ? Focus : static_cast<std::size_t>(Hit - Nodes_.data());
}

bool ControlWorld::isCut(const Node &From, const Node &To) const {
  return std::any_of(CutLinks_.begin(), CutLinks_.end(),
                     [&](const CutLink &One) {
                       return &Nodes_[One.From_] == &From &&
                              &Nodes_[One.To_] == &To && Now_ < One.Until_;
                     });
}

void ControlWorld::startFault(const Fault &One) {
  const std::size_t Index = resolveRole(One);
  Node &Hit = Nodes_[Index];
  const Instant Until = Now_ + One.Length_;
  switch (One.Kind_) {
  case FaultKind::Pause:
    Hit.PausedUntil_ = std::max(Hit.PausedUntil_, Until);
    return;
  case FaultKind::Restart:
    Ghosts_.push_back(Hit);
    resetNode(Hit);
    Hit.PausedUntil_ = Until;
    return;
  case FaultKind::Isolate:
    Hit.IsolatedUntil_ = Until;
    return;
  case FaultKind::CutFromLog:
    Hit.CutUntil_ = Until;
    return;
  case FaultKind::LogDown:
    LogDownUntil_ = Until;
    return;
  case FaultKind::LogSlow:
    LogSlowUntil_ = Until;
    return;
  case FaultKind::BadNetwork:
    BadNetworkUntil_ = Until;
    return;
  case FaultKind::Leave: {
    ControlActions Actions;
    beginLeave(Hit.State_, localTime(Hit), Actions);
    Hit.RejoinAt_ = Until;
    carryOut(Index, Actions);
    return;
  }
  case FaultKind::UpstreamGone: {
    ControlActions Actions;
    onSlots(Hit.State_, {{ServiceName, 0}}, localTime(Hit), Actions);
    Hit.UpstreamBackAt_ = Until;
    carryOut(Index, Actions);
    return;
  }
  case FaultKind::CutLink: {
    const std::size_t Focus = One.Node_ % Nodes_.size();
    if (One.Choice_ % 2 == 0)
      CutLinks_.push_back({Focus, Index, Until});
    else
      CutLinks_.push_back({Index, Focus, Until});
    return;
  }
  }
}

void ControlWorld::step() {
  Now_ += Step;
  for (std::size_t Index = 0; Index < Faults_.size(); ++Index) {
    if (Faults_[Index].first > Now_)
      continue;
    const Fault Due = Faults_[Index].second;
    Faults_.erase(Faults_.begin() + static_cast<std::ptrdiff_t>(Index--));
    startFault(Due);
  }
  landAppends();
  deliverPackets();
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    stepNode(Index);
  observe();
}

bool ControlWorld::isRunning(const Node &One) const {
  return Now_ >= One.PausedUntil_;
}

bool ControlWorld::isLogDown(const Node &One) const {
  return Now_ < LogDownUntil_ || Now_ < One.CutUntil_;
}

void ControlWorld::stepNode(std::size_t Index) {
  Node &One = Nodes_[Index];
  if (!isRunning(One))
    return;
  if (Now_ >= One.RejoinAt_) {
    One.RejoinAt_ = Instant::max();
    Ghosts_.push_back(One);
    resetNode(One);
  }
  ControlActions Actions;
  if (One.State_.Slots_[ServiceName] == 0 && Now_ >= One.UpstreamBackAt_)
    onSlots(One.State_, {{ServiceName, 4}}, localTime(One), Actions);
  if (Now_ >= One.NextRead_ && !isLogDown(One)) {
    readLog(One);
    One.NextRead_ = Now_ + (Now_ < LogSlowUntil_ ? randomMillis(200, 1500)
                                                 : randomMillis(10, 60));
  }
  if (Now_ >= One.NextTick_) {
    tick(One.State_, localTime(One), Actions);
    One.NextTick_ = Now_ + TickEvery;
  }
  carryOut(Index, Actions);
  driveDraining(One);
}

void ControlWorld::readLog(Node &One) {
  LogBatch Batch;
  Batch.First_ = LogFirst_;
  const Offset From = std::max(nextOffset(One.State_.Reader_), LogFirst_);
  const std::size_t Count = 1 + Random_() % 20;
  Offset Next = From;
  for (; Next < Log_.size() && Batch.Records_.size() < Count; ++Next)
    Batch.Records_.push_back(Log_[Next]);
  Batch.AtEnd_ = Next >= Log_.size();
  ControlActions Actions;
  onLogBatch(One.State_, Batch, localTime(One), Actions);
  if (One.State_.Reader_.Synced_ && !Actions.Effective_.empty())
    for (ShardId Id = 0; Id < ShardCount_; ++Id)
      if (const Shard *Known = findShard(tableOf(One.State_), ServiceName, Id))
        if (Batch.AtEnd_)
          History_.Assignments_.push_back(
              {{ServiceName, Id}, Known->Owner_, Known->Token_});
  carryOut(static_cast<std::size_t>(&One - Nodes_.data()), Actions);
}

void ControlWorld::driveDraining(Node &One) {
  for (const auto &[Key, Fence] : One.View_.Releasing_) {
    const auto [Found, IsNew] = One.Draining_.try_emplace(Key);
    if (IsNew || Found->second.second != Fence)
      Found->second = {Now_ + randomMillis(0, 150), Fence};
  }
  for (auto &[Key, Due] : One.Draining_) {
    if (Due.first > Now_)
      continue;
    Due.first = Instant::max();
    ControlActions Actions;
    onDrained(One.State_, {Key.Service_, Key.Shard_, Due.second},
              localTime(One), Actions);
    carryOut(static_cast<std::size_t>(&One - Nodes_.data()), Actions);
  }
  std::erase_if(One.Draining_, [&One](const auto &Entry) {
    return One.View_.Releasing_.count(Entry.first) == 0;
  });
}

void ControlWorld::carryOut(std::size_t Index, ControlActions &Actions) {
  Node &One = Nodes_[Index];
  if (Actions.ViewChanged_)
    One.View_ = makeView(One.State_);
  const std::string Prefix =
      std::to_string(toMillis(Now_.time_since_epoch()).count()) + " " +
      One.Name_ + " ";
  for (const auto &[Id, Details] : Actions.Events_)
    Trace_.append(Prefix)
        .append(eventInfo(Id).Name_)
        .append(" " + Details + "\n");
  for (const Record &Entry : Actions.Appends_)
    Trace_ += Prefix + "appends " + recordKind(Entry) + "\n";
  for (const LeaseMessage &Message : Actions.Messages_)
    sendPacket(One, Message);
  for (const Record &Entry : Actions.Appends_) {
    if (isLogDown(One) && chance(80))
      continue;
    const bool Slow = Now_ < LogSlowUntil_ || isLogDown(One);
    Appends_.push_back(
        {Now_ + (Slow ? randomMillis(200, 3000) : randomMillis(5, 40)), Index,
         Entry});
    // A repeated append of the same record may land much later.
    if (chance(3))
      Appends_.push_back({Now_ + randomMillis(100, 5000), Index, Entry});
  }
}

void ControlWorld::sendPacket(const Node &From, const LeaseMessage &Message) {
  const bool Bad = Now_ < BadNetworkUntil_;
  if (Now_ < From.IsolatedUntil_ || chance(Bad ? 30 : 1))
    return;
  const int Copies = chance(Bad ? 20 : 1) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    Packets_.push_back({Now_ + (Bad && chance(30) ? randomMillis(20, 2500)
                                                  : randomMillis(1, 15)),
                        Message});
}

ControlWorld::Node *ControlWorld::findNode(MemberId Id) {
  for (Node &One : Nodes_)
    if (seatIds(One.State_).count(Id) > 0)
      return &One;
  return nullptr;
}

void ControlWorld::deliverPackets() {
  std::deque<Packet> Later;
  std::deque<Packet> Due;
  for (Packet &One : Packets_)
    (One.At_ <= Now_ ? Due : Later).push_back(std::move(One));
  Packets_ = std::move(Later);
  for (Packet &One : Due) {
    Node *To = findNode(One.Message_.To_);
    if (To == nullptr || Now_ < To->IsolatedUntil_)
      continue;
    const Node *From = findNode(One.Message_.From_);
    if (From != nullptr && isCut(*From, *To))
      continue;
    if (!isRunning(*To)) {
      // The packet waits in the socket of the paused process.
      One.At_ = To->PausedUntil_;
      Packets_.push_back(std::move(One));
      continue;
    }
    ControlActions Actions;
    onMessage(To->State_, One.Message_, localTime(*To), Actions);
    carryOut(static_cast<std::size_t>(To - Nodes_.data()), Actions);
  }
}

void ControlWorld::landAppends() {
  std::deque<Append> Later;
  for (Append &One : Appends_) {
    if (One.At_ > Now_) {
      Later.push_back(std::move(One));
      continue;
    }
    if (Now_ < LogDownUntil_) {
      One.At_ = LogDownUntil_ + randomMillis(1, 500);
      Later.push_back(std::move(One));
      continue;
    }
    const Offset At = Log_.size();
    Log_.emplace_back(At, std::move(One.Record_));
  }
  Appends_ = std::move(Later);
  if (Log_.size() > RecordsKept)
    LogFirst_ = Log_.size() - RecordsKept;
}

void ControlWorld::observe() {
  std::vector<bool> Served(ShardCount_, false);
  for (const Node &One : Nodes_)
    observeNode(One, Served);
  std::erase_if(Ghosts_, [this](const Node &One) {
    return One.State_.LeaseUntil_ <= localTime(One);
  });
  for (const Node &One : Ghosts_)
    observeNode(One, Served);
  for (ShardId Id = 0; Id < ShardCount_; ++Id) {
    LongestGap_ = std::max(
        LongestGap_, std::chrono::duration_cast<std::chrono::milliseconds>(
                         Now_ - LastServed_[Id]));
    if (Served[Id])
      LastServed_[Id] = Now_;
  }
}

/// A daemon that is paused or lost counts as serving until its lease ends,
/// since its upstream may still run what it has sent.
void ControlWorld::observeNode(const Node &One, std::vector<bool> &Served) {
  const std::string Incarnation =
      One.Name_ + "#" + std::to_string(One.State_.Identity_.Nonce_);
  const bool HasLease = localTime(One) < One.State_.LeaseUntil_;
  for (ShardId Id = 0; Id < ShardCount_; ++Id) {
    Seen &Last = Open_[{Incarnation, Id}];
    const std::optional<Token> Fence =
        HasLease ? servedToken(One.View_, ServiceName, Id) : std::nullopt;
    const bool Continues = Last.IsOpen_ && Fence &&
                           History_.Servings_[Last.Open_].Token_ == *Fence;
    if (Continues) {
      History_.Servings_[Last.Open_].End_ = Now_;
    } else if (Fence) {
      Last.Open_ = History_.Servings_.size();
      History_.Servings_.push_back(
          {Incarnation, {ServiceName, Id}, *Fence, Now_, Now_});
    }
    Last.IsOpen_ = Fence.has_value();
    // A shard whose last requests are being finished is still in use.
    const bool Finishing = One.Draining_.count({ServiceName, Id}) > 0;
    if (Fence || (HasLease && Finishing))
      Served[Id] = true;
  }
}

History ControlWorld::takeHistory() { return std::move(History_); }

std::uint32_t ControlWorld::servedShards() const {
  return static_cast<std::uint32_t>(
      std::count(LastServed_.begin(), LastServed_.end(), Now_));
}

std::string ControlWorld::describe() const {
  std::ostringstream Text;
  Text << Trace_;
  for (const Node &One : Nodes_) {
    const Member *Self = selfOf(One.State_);
    Text << One.Name_ << " member " << One.State_.Self_ << " lease "
         << (localTime(One) < One.State_.LeaseUntil_) << " owns "
         << ownedShards(tableOf(One.State_), One.State_.Self_) << " resigning "
         << One.State_.Resigning_ << " synced " << One.State_.Reader_.Synced_
         << " next " << tableOf(One.State_).Next_;
    if (Self != nullptr) {
      Text << " witnesses";
      for (MemberId Id : Self->Seats_.Witnesses_)
        Text << " " << Id;
      Text << " heir " << Self->Seats_.Heir_ << " changing "
           << Self->OldSeats_.has_value();
    }
    Text << "\n";
  }
  return Text.str();
}

} // namespace lagoonhitch
