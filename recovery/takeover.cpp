#include "recovery/takeover.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

bool promisedBy(const Takeover &Attempt, MemberId Witness) {
  return Attempt.Promises_.count(Witness) > 0;
}

std::size_t countPromises(const Takeover &Attempt, const SeatSet &Seats) {
  return static_cast<std::size_t>(std::count_if(
      Seats.Witnesses_.begin(), Seats.Witnesses_.end(),
      [&Attempt](MemberId Id) { return promisedBy(Attempt, Id); }));
}

std::size_t countPromisesOrRetired(const Takeover &Attempt,
                                   const SeatSet &Seats) {
  return static_cast<std::size_t>(std::count_if(
      Seats.Witnesses_.begin(), Seats.Witnesses_.end(),
      [&Attempt](MemberId Id) {
        return promisedBy(Attempt, Id) || Attempt.Retired_.count(Id) > 0;
      }));
}

bool refusesMajority(const Takeover &Attempt, const SeatSet &Seats) {
  const std::size_t Refusals = static_cast<std::size_t>(std::count_if(
      Seats.Witnesses_.begin(), Seats.Witnesses_.end(),
      [&Attempt](MemberId Id) { return Attempt.Refused_.count(Id) > 0; }));
  return Refusals + majorityOf(Seats) > Seats.Witnesses_.size() && Refusals > 0;
}

} // namespace

void onPromiseReply(Takeover &Attempt, MemberId Witness,
                    const LeaseMessage::PromiseReply &Reply,
                    const LeaseOptions &Options, Instant Now) {
  if (Reply.Attempt_ != Attempt.Attempt_)
    return;
  if (Reply.Result_ == LeaseMessage::PromiseResult::Refused) {
    Attempt.Refused_.insert(Witness);
    return;
  }
  Attempt.Refused_.erase(Witness);
  Attempt.Floor_ = std::max(Attempt.Floor_, Reply.Floor_);
  Attempt.Withheld_.insert(Reply.Withheld_.begin(), Reply.Withheld_.end());
  if (Reply.Result_ == LeaseMessage::PromiseResult::Retired) {
    Attempt.Retired_.insert(Witness);
    return;
  }
  const Duration Left =
      std::max<Duration>(Options.Lease_ - Reply.Silence_, Duration::zero());
  const Duration Stretched = Left * (1000 + 2 * Options.DriftPermille_) / 1000;
  Takeover::Promise &Promise = Attempt.Promises_[Witness];
  Promise.ExpiresAt_ = Now + Stretched;
  Promise.Generation_ = std::max(Promise.Generation_, Reply.Generation_);
}

bool hasMajority(const Takeover &Attempt, const Member &Victim) {
  if (Victim.Seats_.Witnesses_.empty())
    return false;
  if (countPromises(Attempt, Victim.Seats_) < majorityOf(Victim.Seats_))
    return false;
  if (!Victim.OldSeats_)
    return true;
  // A holder that had no witnesses serves without renewals until it knows of
  // its new ones, so nobody may take over before it has said that it does.
  if (Victim.OldSeats_->Witnesses_.empty())
    return false;
  return countPromisesOrRetired(Attempt, *Victim.OldSeats_) >=
         majorityOf(*Victim.OldSeats_);
}

bool isRefused(const Takeover &Attempt, const Member &Victim) {
  if (refusesMajority(Attempt, Victim.Seats_))
    return true;
  return Victim.OldSeats_ && refusesMajority(Attempt, *Victim.OldSeats_);
}

Instant victimStoppedAt(const Takeover &Attempt, const LeaseOptions &Options) {
  Instant Latest = Instant::min();
  for (const auto &[Witness, Promise] : Attempt.Promises_)
    Latest = std::max(Latest, Promise.ExpiresAt_);
  return Latest + Options.TakeoverMargin_;
}

Token tokenStep(const Takeover &Attempt) {
  Token Step = 1;
  for (const auto &[Witness, Promise] : Attempt.Promises_)
    Step = std::max<Token>(Step, Promise.Generation_);
  return Step;
}

std::vector<ShardRef> inheritedShards(const Takeover &Attempt,
                                      const Table &State) {
  if (State.Next_ < Attempt.Floor_)
    return {};
  const Token Step = tokenStep(Attempt);
  std::vector<ShardRef> Inherited;
  for (const auto &[Service, Shards] : State.Services_) {
    for (ShardId Id = 0; Id < Shards.size(); ++Id) {
      const Shard &One = Shards[Id];
      if (One.Owner_ != Attempt.Victim_)
        continue;
      if (Attempt.Withheld_.count({Service, Id, One.Token_}) > 0)
        continue;
      Inherited.push_back({Service, Id, One.Token_ + Step});
    }
  }
  return Inherited;
}

} // namespace lagoonhitch
