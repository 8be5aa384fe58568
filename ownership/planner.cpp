#include "ownership/planner.h"

#include <algorithm>
#include <optional>

namespace lagoonhitch {

namespace {

/// One member's part in one service.
struct Share {
  MemberId Member_ = NoMember;
  std::uint32_t Slots_ = 0;
  std::uint32_t Quota_ = 0;
  std::uint32_t Held_ = 0;
};

std::uint32_t slotsOf(const Member &Candidate, const std::string &Service,
                      const PlanOptions &Options) {
  if (Candidate.Draining_)
    return 0;
  if (!Options.AllowUnsettled_ && !isSettled(Candidate))
    return 0;
  const auto Found = Candidate.Slots_.find(Service);
  return Found == Candidate.Slots_.end() ? 0 : Found->second;
}

/// Splits the shards by slots; the largest remainders get the rest.
void setQuotas(std::vector<Share> &Shares, std::uint32_t ShardCount) {
  std::uint64_t TotalSlots = 0;
  for (const Share &One : Shares)
    TotalSlots += One.Slots_;
  if (TotalSlots == 0)
    return;
  std::uint32_t Given = 0;
  std::vector<std::pair<std::uint64_t, Share *>> Remainders;
  for (Share &One : Shares) {
    const std::uint64_t Product =
        static_cast<std::uint64_t>(One.Slots_) * ShardCount;
    One.Quota_ = static_cast<std::uint32_t>(Product / TotalSlots);
    Given += One.Quota_;
    Remainders.emplace_back(Product % TotalSlots, &One);
  }
  std::stable_sort(
      Remainders.begin(), Remainders.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  for (std::size_t Index = 0; Given < ShardCount; ++Index, ++Given)
    ++Remainders[Index % Remainders.size()].second->Quota_;
}

Share *findShare(std::vector<Share> &Shares, MemberId Id) {
  const auto Found = std::lower_bound(
      Shares.begin(), Shares.end(), Id,
      [](const Share &One, MemberId Wanted) { return One.Member_ < Wanted; });
  if (Found == Shares.end() || Found->Member_ != Id)
    return nullptr;
  return &*Found;
}

Share *mostUnderQuota(std::vector<Share> &Shares) {
  Share *Best = nullptr;
  std::int64_t BestRoom = 0;
  for (Share &One : Shares) {
    const std::int64_t Room = static_cast<std::int64_t>(One.Quota_) - One.Held_;
    if (One.Slots_ > 0 && Room > BestRoom) {
      Best = &One;
      BestRoom = Room;
    }
  }
  return Best;
}

bool shouldGiveAway(const Share &Holder, std::uint32_t TolerancePercent) {
  if (Holder.Slots_ == 0)
    return true;
  const std::uint32_t Tolerance =
      std::max<std::uint32_t>(1, Holder.Quota_ * TolerancePercent / 100);
  return Holder.Held_ > Holder.Quota_ + Tolerance;
}

/// Plans one service; MovesLeft counts down over all services.
class ServicePlan {
public:
  ServicePlan(const Table &State, const PlanOptions &Options,
              const PlanOptions::Service &Service, Record::Plan &Result,
              std::uint32_t &MovesLeft)
      : Options_(Options), Service_(Service), Result_(Result),
        MovesLeft_(MovesLeft) {
    const auto Found = State.Services_.find(Service.Name_);
    if (Found != State.Services_.end())
      Shards_ = Found->second;
    else
      Shards_.resize(Service.ShardCount_);
    for (const auto &[Id, Candidate] : State.Members_)
      Shares_.push_back({Id, slotsOf(Candidate, Service.Name_, Options), 0, 0});
    setQuotas(Shares_, static_cast<std::uint32_t>(Shards_.size()));
    countHeld();
  }

  void run() {
    assignUnowned();
    moveOwned(true);
    moveOwned(false);
  }

private:
  void countHeld() {
    for (const Shard &One : Shards_) {
      const MemberId Holder =
          One.Target_ != NoMember ? One.Target_ : One.Owner_;
      Share *Found = findShare(Shares_, Holder);
      if (Found != nullptr)
        ++Found->Held_;
    }
  }

  void move(ShardId Id, Share &To) {
    ++To.Held_;
    Result_.Moves_.push_back({Service_.Name_, Id, To.Member_});
  }

  void assignUnowned() {
    for (ShardId Id = 0; Id < Shards_.size(); ++Id) {
      if (Shards_[Id].Owner_ != NoMember)
        continue;
      Share *To = mostUnderQuota(Shares_);
      if (To == nullptr)
        return;
      move(Id, *To);
    }
  }

  /// Moves shards from members without slots (Leaving) or above quota.
  void moveOwned(bool Leaving) {
    for (ShardId Id = 0; Id < Shards_.size() && MovesLeft_ > 0; ++Id) {
      const Shard &One = Shards_[Id];
      if (One.Owner_ == NoMember || One.Target_ != NoMember)
        continue;
      Share *From = findShare(Shares_, One.Owner_);
      if (From == nullptr || (From->Slots_ == 0) != Leaving)
        continue;
      if (!shouldGiveAway(*From, Options_.TolerancePercent_))
        continue;
      Share *To = mostUnderQuota(Shares_);
      if (To == nullptr)
        return;
      --From->Held_;
      --MovesLeft_;
      move(Id, *To);
    }
  }

  const PlanOptions &Options_;
  const PlanOptions::Service &Service_;
  Record::Plan &Result_;
  std::uint32_t &MovesLeft_;
  std::vector<Shard> Shards_;
  std::vector<Share> Shares_;
};

std::uint32_t movesInFlight(const Table &State) {
  std::uint32_t Count = 0;
  for (const auto &[Name, Shards] : State.Services_)
    for (const Shard &One : Shards)
      if (One.Target_ != NoMember)
        ++Count;
  return Count;
}

} // namespace

Record::Plan planShards(const Table &State, const PlanOptions &Options) {
  Record::Plan Result;
  Result.PlanVersion_ = State.PlanVersion_;
  const std::uint32_t InFlight = movesInFlight(State);
  std::uint32_t MovesLeft = InFlight < Options.MaxMovesInFlight_
                                ? Options.MaxMovesInFlight_ - InFlight
                                : 0;
  for (const PlanOptions::Service &Service : Options.Services_) {
    if (State.Services_.find(Service.Name_) == State.Services_.end())
      Result.Defines_.push_back({Service.Name_, Service.ShardCount_});
    ServicePlan(State, Options, Service, Result, MovesLeft).run();
  }
  return Result;
}

} // namespace lagoonhitch
