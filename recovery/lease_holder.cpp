#include "recovery/lease_holder.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr std::size_t MaxRenewalsInFlight = 16;

Instant untilBySeats(const LeaseHolder &Holder, const SeatSet &Seats,
                     const LeaseOptions &Options, Instant Now) {
  const Duration Usable =
      Options.Lease_ * (1000 - Options.DriftPermille_) / 1000;
  if (Seats.Witnesses_.empty())
    return Now + Usable;
  std::vector<Instant> Renewals;
  for (MemberId Witness : Seats.Witnesses_) {
    const auto Found = Holder.Acks_.find(Witness);
    if (Found != Holder.Acks_.end())
      Renewals.push_back(Found->second.SentAt_);
  }
  if (Renewals.size() < majorityOf(Seats))
    return Instant::min();
  std::sort(Renewals.begin(), Renewals.end(), std::greater<>());
  return Renewals[majorityOf(Seats) - 1] + Usable;
}

bool isWitnessedBySeats(const LeaseHolder &Holder, const SeatSet &Seats,
                        std::uint64_t Sequence) {
  if (Seats.Witnesses_.empty())
    return true;
  std::size_t Count = 0;
  for (MemberId Witness : Seats.Witnesses_) {
    const auto Found = Holder.Acks_.find(Witness);
    if (Found != Holder.Acks_.end() && Found->second.Sequence_ >= Sequence)
      ++Count;
  }
  return Count >= majorityOf(Seats);
}

} // namespace

std::uint64_t beginRenewal(LeaseHolder &Holder, Instant Now) {
  ++Holder.Sequence_;
  Holder.Sent_.emplace_back(Holder.Sequence_, Now);
  if (Holder.Sent_.size() > MaxRenewalsInFlight)
    Holder.Sent_.pop_front();
  return Holder.Sequence_;
}

void noteAck(LeaseHolder &Holder, MemberId Witness, std::uint64_t Sequence) {
  const auto Sent = std::find_if(
      Holder.Sent_.begin(), Holder.Sent_.end(),
      [Sequence](const auto &Entry) { return Entry.first == Sequence; });
  if (Sent == Holder.Sent_.end())
    return;
  LeaseHolder::Ack &Latest = Holder.Acks_[Witness];
  if (Latest.Sequence_ < Sequence)
    Latest = {Sent->second, Sequence};
}

void noteRetired(LeaseHolder &Holder, MemberId Witness, std::uint64_t Epoch) {
  if (Epoch < Holder.RetiredEpoch_)
    return;
  if (Epoch > Holder.RetiredEpoch_)
    Holder.RetiredBy_.clear();
  Holder.RetiredEpoch_ = Epoch;
  Holder.RetiredBy_.insert(Witness);
}

bool oldSeatsRetired(const LeaseHolder &Holder, const Member &Self) {
  if (!Self.OldSeats_ || Self.OldSeats_->Witnesses_.empty())
    return true;
  if (Holder.RetiredEpoch_ != Self.OldSeats_->Epoch_)
    return false;
  const std::size_t Count = static_cast<std::size_t>(std::count_if(
      Self.OldSeats_->Witnesses_.begin(), Self.OldSeats_->Witnesses_.end(),
      [&Holder](MemberId Id) { return Holder.RetiredBy_.count(Id) > 0; }));
  return Count >= majorityOf(*Self.OldSeats_);
}

Instant newSeatsUntil(const LeaseHolder &Holder, const Member &Self,
                      const LeaseOptions &Options, Instant Now) {
  return untilBySeats(Holder, Self.Seats_, Options, Now);
}

Instant leaseUntil(const LeaseHolder &Holder, const Member &Self,
                   const LeaseOptions &Options, Instant Now) {
  const Instant ByNew = newSeatsUntil(Holder, Self, Options, Now);
  if (oldSeatsRetired(Holder, Self))
    return ByNew;
  return std::min(ByNew, untilBySeats(Holder, *Self.OldSeats_, Options, Now));
}

bool isWitnessed(const LeaseHolder &Holder, const Member &Self,
                 std::uint64_t Sequence) {
  if (!isWitnessedBySeats(Holder, Self.Seats_, Sequence))
    return false;
  if (oldSeatsRetired(Holder, Self))
    return true;
  return isWitnessedBySeats(Holder, *Self.OldSeats_, Sequence);
}

} // namespace lagoonhitch
