#include "membership/crash_history.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

void dropOldEntries(CrashHistory &State, Instant Now) {
  std::erase_if(State.Entries_, [&State, Now](const auto &Item) {
    return Now - Item.second.At_ > State.Options_.MaxQuarantine_;
  });
  while (State.Entries_.size() > State.Options_.MaxEntries_)
    State.Entries_.erase(
        std::min_element(State.Entries_.begin(), State.Entries_.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.At_ < Right.second.At_;
                         }));
}

void countSuspects(CrashHistory &State) {
  State.Suspects_.clear();
  for (const auto &[Incarnation, Entry] : State.Entries_)
    for (const RequestFingerprint &Request : Entry.Requests_) {
      CrashHistory::Suspect &Suspect = State.Suspects_[Request];
      ++Suspect.Crashes_;
      Suspect.LastAt_ = std::max(Suspect.LastAt_, Entry.At_);
    }
}

} // namespace

std::vector<RequestFingerprint> addCrash(CrashHistory &State,
                                         const UpstreamCrash &Crash,
                                         Duration Age, Instant Now) {
  std::vector<RequestFingerprint> Added;
  for (const RequestFingerprint &Request : Crash.Requests_)
    if (!quarantineLeft(State, Request, Now))
      Added.push_back(Request);
  const Duration KnownAge = std::max(Age, Duration::zero());
  const auto [Item, New] =
      State.Entries_.try_emplace({Crash.Upstream_, Crash.StartMillis_});
  if (New)
    Item->second.At_ = Now - KnownAge;
  Item->second.Requests_.insert(Crash.Requests_.begin(), Crash.Requests_.end());
  dropOldEntries(State, Now);
  countSuspects(State);
  std::erase_if(Added, [&State, Now](const RequestFingerprint &Request) {
    return !quarantineLeft(State, Request, Now);
  });
  return Added;
}

std::optional<Duration> quarantineLeft(const CrashHistory &State,
                                       const RequestFingerprint &Request,
                                       Instant Now) {
  const auto Found = State.Suspects_.find(Request);
  if (Found == State.Suspects_.end() ||
      Found->second.Crashes_ < State.Options_.MaxCrashes_)
    return std::nullopt;
  constexpr std::size_t MaxDoublings = 8;
  const std::size_t Doublings = std::min(
      Found->second.Crashes_ - State.Options_.MaxCrashes_, MaxDoublings);
  const Duration Length =
      std::min<Duration>(State.Options_.Quarantine_ * (1U << Doublings),
                         State.Options_.MaxQuarantine_);
  const Duration Left = Found->second.LastAt_ + Length - Now;
  return Left > Duration::zero() ? std::optional<Duration>(Left) : std::nullopt;
}

} // namespace lagoonhitch
