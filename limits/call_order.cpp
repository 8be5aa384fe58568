#include "limits/call_order.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

using Position = std::map<QueueOrder, QueuedRequest>::const_iterator;

/// Returns the first waiting fresh request of a rank; the end if there is none.
Position firstFresh(const AdmissionQueue &State, std::uint32_t Rank) {
  const Position Found =
      State.Waiting_.lower_bound({Rank, true, Instant::min(), 0});
  return Found == State.Waiting_.end() || Found->first.Rank_ != Rank
             ? State.Waiting_.end()
             : Found;
}

/// Returns whether a call has to let a fresh request of its rank start first.
bool yields(const AdmissionQueue &State, const QueuedRequest &Request) {
  return Request.Chained_ &&
         State.CallsInARow_ >= State.Options_.MaxCallsInARow_ &&
         firstFresh(State, Request.Rank_) != State.Waiting_.end();
}

/// Returns how many requests of the other kind, calls or fresh ones, start
/// before a request that has others of its own kind and rank ahead.
std::size_t otherKindAhead(const AdmissionQueue &State, bool Chained,
                           std::size_t SameKind) {
  const std::size_t InARow =
      std::max<std::uint32_t>(State.Options_.MaxCallsInARow_, 1);
  return Chained ? SameKind / InARow : (SameKind + 1) * InARow;
}

/// Returns how long before the latest useful start a call is handed back: the
/// time for another attempt, but not more than half of the time that the call
/// can wait at all.
Duration handBackTime(const AdmissionQueue &State, const QueuedRequest &Request,
                      Duration ProcessingTime) {
  const Duration Slack = Request.Timeout_ - ProcessingTime;
  return std::min<Duration>(State.Options_.HandBackTime_,
                            std::max(Slack / 2, Duration::zero()));
}

} // namespace

bool precedesWaiting(const AdmissionQueue &State,
                     const QueuedRequest &Request) {
  if (State.Waiting_.empty())
    return true;
  return orderOf(Request) < State.Waiting_.begin()->first &&
         !yields(State, Request);
}

Position nextToStart(const AdmissionQueue &State) {
  const Position First = State.Waiting_.begin();
  return yields(State, First->second) ? firstFresh(State, First->first.Rank_)
                                      : First;
}

void noteStart(AdmissionQueue &State, const QueuedRequest &Request) {
  const bool Precedes = Request.Chained_ && firstFresh(State, Request.Rank_) !=
                                                State.Waiting_.end();
  State.CallsInARow_ = Precedes ? State.CallsInARow_ + 1 : 0;
}

std::vector<const QueuedRequest *> requestsAhead(const AdmissionQueue &State,
                                                 const QueuedRequest &Request) {
  const QueueOrder Order = orderOf(Request);
  std::vector<const QueuedRequest *> Ahead;
  std::vector<const QueuedRequest *> OtherKind;
  std::size_t SameKind = 0;
  for (const auto &[Other, Waiting] : State.Waiting_) {
    if (Other.Rank_ > Order.Rank_)
      break;
    const bool SameRank = Other.Rank_ == Order.Rank_;
    if (SameRank && Other.Fresh_ != Order.Fresh_)
      OtherKind.push_back(&Waiting);
    else if (Other < Order)
      Ahead.push_back(&Waiting);
    SameKind += SameRank && Other.Fresh_ == Order.Fresh_ && Other < Order;
  }
  const std::size_t Count = std::min(
      OtherKind.size(), otherKindAhead(State, Request.Chained_, SameKind));
  Ahead.insert(Ahead.end(), OtherKind.begin(),
               OtherKind.begin() + static_cast<std::ptrdiff_t>(Count));
  return Ahead;
}

bool hasPlace(const AdmissionQueue &State, const QueuedRequest &Request) {
  if (State.Waiting_.size() >= State.Options_.MaxWaiting_)
    return false;
  if (!Request.Chained_)
    return true;
  const auto Calls =
      std::count_if(State.Waiting_.begin(), State.Waiting_.end(),
                    [](const auto &Entry) { return Entry.second.Chained_; });
  return static_cast<std::size_t>(Calls) < State.Options_.MaxWaitingCalls_;
}

bool isTooLate(const AdmissionQueue &State, const QueuedRequest &Request,
               Instant Now) {
  const Duration ProcessingTime = expectedProcessingTime(State, Request, Now);
  const Duration Left = Request.Deadline_ - Now;
  if (Left <= ProcessingTime / 2)
    return true;
  const Duration CanWait = Left - ProcessingTime;
  return Request.Chained_ && Request.OthersCanRun_ &&
         CanWait <= handBackTime(State, Request, ProcessingTime) &&
         expectedWait(State, Request, Now) > CanWait;
}

} // namespace lagoonhitch
