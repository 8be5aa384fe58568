#include "recovery/witness.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds SuspectEvery{100};

Witness::Seat &seatFor(Witness &State, MemberId Holder, Instant Now) {
  const auto [Found, IsNew] = State.Seats_.try_emplace(Holder);
  if (IsNew) {
    Found->second.HeardAt_ = Now;
    Found->second.ReceivedAt_ = Now;
  }
  return Found->second;
}

bool isSeated(const SeatSet &Seats, const std::set<MemberId> &Selves) {
  return std::any_of(Seats.Witnesses_.begin(), Seats.Witnesses_.end(),
                     [&Selves](MemberId Id) { return Selves.count(Id) > 0; });
}

bool isSeatedFor(const Member &Holder, const std::set<MemberId> &Selves) {
  if (isSeated(Holder.Seats_, Selves))
    return true;
  return Holder.OldSeats_ && isSeated(*Holder.OldSeats_, Selves);
}

/// A retired witness no longer hears the holder and must not report it.
bool expectsRenewals(const Member &Holder, const std::set<MemberId> &Selves,
                     const Witness::Seat &Seat) {
  return isSeatedFor(Holder, Selves) &&
         Seat.RetiredEpoch_ < Holder.Seats_.Epoch_ &&
         (isSeated(Holder.Seats_, Selves) || Seat.RetiredEpoch_ == 0 ||
          Seat.RetiredEpoch_ < Holder.OldSeats_->Epoch_);
}

/// A seat that is taken again counts the silence from then on.
void takeSeat(Witness::Seat &Seat, const Member &Holder,
              const std::set<MemberId> &Selves, Instant Now) {
  const bool WasSeated =
      Holder.OldSeats_ && isSeated(*Holder.OldSeats_, Selves);
  const bool IsNewSeat = isSeated(Holder.Seats_, Selves) && !WasSeated &&
                         Seat.SeatedEpoch_ + 1 < Holder.Seats_.Epoch_;
  if (IsNewSeat && Seat.PromisedTo_ == NoMember) {
    Seat.HeardAt_ = Now;
    Seat.ReceivedAt_ = Now;
  }
  Seat.SeatedEpoch_ = Holder.Seats_.Epoch_;
}

bool maySupersede(const Witness::Seat &Seat, const Table &Members,
                  MemberId Successor) {
  if (Seat.PromisedTo_ == NoMember || Seat.PromisedTo_ == Successor)
    return true;
  return isRemoved(Members, Seat.PromisedTo_);
}

/// A holder whose renewals are refused while a successor asks around is
/// alive; one that has been superseded for good has to be succeeded.
Instant lastSignOfLife(const Witness::Seat &Seat, const Table &Members) {
  const bool Superseded = Seat.Final_ || (Seat.PromisedTo_ != NoMember &&
                                          isRemoved(Members, Seat.PromisedTo_));
  return Superseded ? Seat.HeardAt_ : Seat.ReceivedAt_;
}

/// After the heir's turn, one other member after the other gets a turn, in an
/// order that all witnesses agree on.
MemberId successorInTurn(const Member &Victim, const Table &Members,
                         const LeaseOptions &Options, Duration Silence) {
  const std::uint64_t Turn = static_cast<std::uint64_t>(
      (Silence - Options.SuspectAfter_) / (Options.AskFor_ * 2));
  if (Turn % 2 == 0 && findMember(Members, Victim.Seats_.Heir_) != nullptr)
    return Victim.Seats_.Heir_;
  std::vector<MemberId> Others;
  for (const auto &[Id, Other] : Members.Members_)
    if (Id != Victim.Id_ && !Other.Draining_)
      Others.push_back(Id);
  if (Others.empty())
    return NoMember;
  return Others[(Turn / 2 + Victim.Id_) % Others.size()];
}

} // namespace

void syncSeats(Witness &State, const Table &Members,
               const std::set<MemberId> &Selves, Instant Now) {
  std::erase_if(State.Seats_, [&Members](const auto &Entry) {
    return isRemoved(Members, Entry.first);
  });
  for (const auto &[Id, Holder] : Members.Members_)
    if (isSeatedFor(Holder, Selves))
      takeSeat(seatFor(State, Id, Now), Holder, Selves, Now);
}

LeaseMessage::RenewAck onRenew(Witness &State, const Table &Members,
                               MemberId Holder,
                               const LeaseMessage::Renew &Message,
                               Instant Now) {
  LeaseMessage::RenewAck Reply;
  Reply.Sequence_ = Message.Sequence_;
  if (isRemoved(Members, Holder))
    return Reply;
  Witness::Seat &Seat = seatFor(State, Holder, Now);
  Seat.ReceivedAt_ = Now;
  if (Seat.PromisedTo_ != NoMember || Seat.Final_)
    return Reply;
  Reply.Accepted_ = true;
  Seat.HeardAt_ = Now;
  if (Message.Sequence_ <= Seat.Sequence_)
    return Reply;
  Seat.Sequence_ = Message.Sequence_;
  Seat.Floor_ = Message.Floor_;
  Seat.Withheld_ = Message.Withheld_;
  return Reply;
}

LeaseMessage::PromiseReply onPromiseAsk(Witness &State, const Table &Members,
                                        MemberId Successor,
                                        const LeaseMessage::PromiseAsk &Message,
                                        const LeaseOptions &Options,
                                        Instant Now) {
  LeaseMessage::PromiseReply Reply;
  Reply.Victim_ = Message.Victim_;
  Reply.Epoch_ = Message.Epoch_;
  Reply.Attempt_ = Message.Attempt_;
  if (isRemoved(Members, Message.Victim_))
    return Reply;
  Witness::Seat &Seat = seatFor(State, Message.Victim_, Now);
  Reply.Floor_ = Seat.Floor_;
  Reply.Withheld_ = Seat.Withheld_;
  if (Message.Epoch_ <= Seat.RetiredEpoch_) {
    Reply.Result_ = LeaseMessage::PromiseResult::Retired;
    return Reply;
  }
  if (!maySupersede(Seat, Members, Successor))
    return Reply;
  const Duration Silence = Now - Seat.HeardAt_;
  if (Silence < Options.SuspectAfter_)
    return Reply;
  if (Seat.PromisedTo_ != Successor) {
    Seat.Final_ |= Seat.PromisedTo_ != NoMember;
    ++Seat.Generation_;
  }
  Seat.PromisedTo_ = Successor;
  Seat.PromiseAttempt_ = std::max(Seat.PromiseAttempt_, Message.Attempt_);
  Reply.Result_ = LeaseMessage::PromiseResult::Granted;
  Reply.Generation_ = Seat.Generation_;
  Reply.Silence_ = toMillis(Silence);
  return Reply;
}

void onPromiseWithdraw(Witness &State, MemberId Successor,
                       const LeaseMessage::PromiseWithdraw &Message) {
  const auto Found = State.Seats_.find(Message.Victim_);
  if (Found == State.Seats_.end())
    return;
  Witness::Seat &Seat = Found->second;
  if (Seat.PromisedTo_ != Successor || Seat.PromiseAttempt_ > Message.Attempt_)
    return;
  Seat.PromisedTo_ = NoMember;
}

bool onRetire(Witness &State, MemberId Holder,
              const LeaseMessage::Retire &Message, Instant Now) {
  Witness::Seat &Seat = seatFor(State, Holder, Now);
  if (Seat.PromisedTo_ != NoMember || Seat.Final_)
    return false;
  Seat.RetiredEpoch_ = std::max(Seat.RetiredEpoch_, Message.Epoch_);
  return true;
}

void shiftTimers(Witness &State, Duration Pause) {
  for (auto &[Id, Seat] : State.Seats_) {
    Seat.HeardAt_ += Pause;
    Seat.ReceivedAt_ += Pause;
  }
}

std::vector<Suspicion> dueSuspicions(Witness &State, const Table &Members,
                                     const std::set<MemberId> &Selves,
                                     const LeaseOptions &Options, Instant Now) {
  std::vector<Suspicion> Due;
  for (auto &[Id, Seat] : State.Seats_) {
    const Member *Victim = findMember(Members, Id);
    const Duration Silence = Now - lastSignOfLife(Seat, Members);
    if (Victim == nullptr || !expectsRenewals(*Victim, Selves, Seat))
      continue;
    if (Silence < Options.SuspectAfter_ || Now < Seat.NextSuspect_)
      continue;
    Seat.NextSuspect_ = Now + SuspectEvery;
    const MemberId Successor =
        successorInTurn(*Victim, Members, Options, Silence);
    if (Successor != NoMember)
      Due.push_back({Id, Successor});
  }
  return Due;
}

} // namespace lagoonhitch
