#include "membership/seat_planner.h"

#include <algorithm>
#include <map>
#include <set>

namespace lagoonhitch {

namespace {

/// Mixes two ids to a rank that spreads seats evenly over the members.
std::uint64_t seatRank(MemberId Holder, MemberId Candidate) {
  std::uint64_t Mixed = Holder * 0x9E3779B97F4A7C15ULL + Candidate;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

std::vector<const Member *> rankedOthers(const Table &State,
                                         const Member &Holder) {
  std::vector<const Member *> Others;
  for (const auto &[Id, Other] : State.Members_)
    if (Id != Holder.Id_ && !Other.Draining_)
      Others.push_back(&Other);
  std::sort(Others.begin(), Others.end(),
            [&Holder](const Member *A, const Member *B) {
              return seatRank(Holder.Id_, A->Id_) <
                     seatRank(Holder.Id_, B->Id_);
            });
  return Others;
}

/// An even number of witnesses tolerates no more losses than one less.
std::size_t wantedWitnesses(std::size_t Others) {
  return Others >= MaxWitnesses ? MaxWitnesses
                                : std::min<std::size_t>(Others, 1);
}

std::vector<MemberId>
chooseWitnesses(const Table &State, const Member &Holder,
                const std::vector<const Member *> &Others) {
  const std::size_t Wanted = wantedWitnesses(Others.size());
  std::vector<MemberId> Chosen;
  std::set<std::string> Zones;
  for (MemberId Id : Holder.Seats_.Witnesses_) {
    const Member *Kept = findMember(State, Id);
    if (Kept == nullptr || Kept->Draining_ || Chosen.size() == Wanted)
      continue;
    Chosen.push_back(Id);
    Zones.insert(Kept->Zone_);
  }
  for (const bool AnyZone : {false, true}) {
    for (const Member *Other : Others) {
      if (Chosen.size() == Wanted)
        return Chosen;
      if (!AnyZone && Zones.count(Other->Zone_) > 0)
        continue;
      if (std::find(Chosen.begin(), Chosen.end(), Other->Id_) != Chosen.end())
        continue;
      Chosen.push_back(Other->Id_);
      Zones.insert(Other->Zone_);
    }
  }
  return Chosen;
}

bool canServeFor(const Member &Holder, const Member &Candidate) {
  for (const auto &[Service, Slots] : Holder.Slots_) {
    const auto Found = Candidate.Slots_.find(Service);
    if (Slots > 0 && (Found == Candidate.Slots_.end() || Found->second == 0))
      return false;
  }
  return true;
}

/// Prefers a member of another zone that serves the same services and is heir
/// to the fewest others.
MemberId chooseHeir(const Member &Holder,
                    const std::vector<const Member *> &Others,
                    const std::map<MemberId, std::size_t> &HeirLoad) {
  const Member *Best = nullptr;
  std::uint64_t BestCost = 0;
  for (const Member *Other : Others) {
    const auto Load = HeirLoad.find(Other->Id_);
    const std::uint64_t Cost = (canServeFor(Holder, *Other) ? 0 : 1000000) +
                               (Other->Zone_ == Holder.Zone_ ? 1000 : 0) +
                               (Load == HeirLoad.end() ? 0 : Load->second);
    if (Best == nullptr || Cost < BestCost) {
      Best = Other;
      BestCost = Cost;
    }
  }
  return Best == nullptr ? NoMember : Best->Id_;
}

bool isUsableHeir(const Table &State, const Member &Holder) {
  const Member *Heir = findMember(State, Holder.Seats_.Heir_);
  if (Heir == nullptr || Heir->Draining_)
    return false;
  return canServeFor(Holder, *Heir);
}

/// Spares the ranking of all others for the many members that need no change.
bool isWellSeated(const Table &State, const Member &Holder) {
  const std::vector<MemberId> &Witnesses = Holder.Seats_.Witnesses_;
  if (Witnesses.size() != MaxWitnesses || !isUsableHeir(State, Holder))
    return false;
  return std::all_of(Witnesses.begin(), Witnesses.end(), [&State](MemberId Id) {
    const Member *Found = findMember(State, Id);
    return Found != nullptr && !Found->Draining_;
  });
}

} // namespace

std::vector<Record::Plan::Seat> planSeats(const Table &State) {
  std::map<MemberId, std::size_t> HeirLoad;
  for (const auto &[Id, Holder] : State.Members_)
    ++HeirLoad[Holder.Seats_.Heir_];
  std::vector<Record::Plan::Seat> Planned;
  for (const auto &[Id, Holder] : State.Members_) {
    if (Holder.OldSeats_ || isWellSeated(State, Holder))
      continue;
    const std::vector<const Member *> Others = rankedOthers(State, Holder);
    SeatSet Wanted;
    Wanted.Epoch_ = Holder.Seats_.Epoch_ + 1;
    Wanted.Witnesses_ = chooseWitnesses(State, Holder, Others);
    Wanted.Heir_ = isUsableHeir(State, Holder)
                       ? Holder.Seats_.Heir_
                       : chooseHeir(Holder, Others, HeirLoad);
    if (Wanted.Witnesses_ == Holder.Seats_.Witnesses_ &&
        Wanted.Heir_ == Holder.Seats_.Heir_)
      continue;
    ++HeirLoad[Wanted.Heir_];
    Planned.push_back({Id, std::move(Wanted)});
  }
  return Planned;
}

} // namespace lagoonhitch
