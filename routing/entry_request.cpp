#include "routing/entry_request.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

EntryAction reply(EntryRequest &Request, AnswerPtr Result) {
  Request.Phase_ = EntryRequest::Phase::Done;
  EntryAction Action;
  Action.Kind_ = EntryAction::Kind::Reply;
  Action.Answer_ = std::move(Result);
  return Action;
}

EntryAction waitFor(Duration Delay) {
  EntryAction Action;
  Action.Kind_ = EntryAction::Kind::Wait;
  Action.Delay_ = Delay;
  return Action;
}

EntryAction lookUp(EntryRequest &Request) {
  Request.Asking_ = true;
  EntryAction Action;
  Action.Kind_ = EntryAction::Kind::LookUp;
  Action.Member_ = Request.Target_;
  return Action;
}

EntryAction chooseAgain(EntryRequest &Request, Duration Delay) {
  Request.Phase_ = EntryRequest::Phase::Choosing;
  Request.LinkAlive_ = false;
  Request.Asking_ = false;
  return waitFor(Delay);
}

AnswerPtr givenUp(const EntryRequest &Request, const std::string &Message) {
  if (Request.MayHaveRun_)
    return makeRefusal(Outcome::Unknown, 504, "timeout", Message,
                       "find out whether it was executed before sending it "
                       "again, or send it again with its Idempotency-Key");
  return makeRefusal(Outcome::NotRun, 503, "unavailable", Message,
                     "send the request again later");
}

/// An earlier attempt of a repeatable request may have run, so a later proof
/// that one attempt has not is no proof for the request.
AnswerPtr honestAnswer(const EntryRequest &Request, const AnswerPtr &Result) {
  if (!Request.MayHaveRun_ || Result->Outcome_ != Outcome::NotRun)
    return Result;
  Answer Weaker = *Result;
  Weaker.Outcome_ = Outcome::Unknown;
  return std::make_shared<const Answer>(std::move(Weaker));
}

/// The current attempt may have run and nothing more can be learnt of it.
EntryAction onUnknown(EntryRequest &Request, RetryBudget &Budget,
                      const EntryOptions &Options) {
  Request.MayHaveRun_ = true;
  if (Request.Repeatable_ && spendRetry(Budget)) {
    ++Request.Misses_;
    return chooseAgain(Request, Options.OwnerPause_);
  }
  return reply(Request, givenUp(Request, "the upstream's host was lost"));
}

/// The current attempt has provably not run.
EntryAction onNotRun(EntryRequest &Request, const ForwardEnd &End,
                     const EntryOptions &Options) {
  if (End.Reason_ == RefusalReason::NotOwner) {
    ++Request.Misses_;
    return chooseAgain(Request, Options.OwnerPause_);
  }
  const bool TryAnother = !Request.Divided_ &&
                          End.Reason_ == RefusalReason::Overloaded &&
                          Request.Sheds_ < Options.MaxShedRetries_;
  if (TryAnother) {
    ++Request.Sheds_;
    return chooseAgain(Request, Duration::zero());
  }
  return reply(Request, honestAnswer(Request, End.Answer_));
}

EntryAction beginSettling(EntryRequest &Request, Instant Now) {
  if (Request.Phase_ != EntryRequest::Phase::Settling)
    Request.SettlingSince_ = Now;
  Request.Phase_ = EntryRequest::Phase::Settling;
  return Request.Asking_ ? EntryAction() : lookUp(Request);
}

} // namespace

const char *refusalName(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::NotOwner:
    return "not-owner";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::TooLate:
    return "too-late";
  }
  return "none";
}

RefusalReason parseRefusal(const std::string &Name) {
  for (const RefusalReason Reason :
       {RefusalReason::NotOwner, RefusalReason::Overloaded,
        RefusalReason::TooLate})
    if (Name == refusalName(Reason))
      return Reason;
  return RefusalReason::None;
}

RefusalReason refusalOf(const Answer &Result) {
  for (const auto &[Name, Value] : Result.Headers_)
    if (Name == RefusalHeader)
      return parseRefusal(Value);
  return RefusalReason::None;
}

AnswerPtr makeRefusal(Outcome Known, unsigned Status, const std::string &Kind,
                      const std::string &Message, const std::string &Remedy) {
  Answer Result;
  Result.Outcome_ = Known;
  Result.Status_ = Status;
  Result.Headers_.emplace_back("Content-Type", "application/json");
  Result.Body_ = R"({"kind":")" + Kind + R"(","message":")" + Message +
                 R"(","remedy":")" + Remedy + R"("})";
  return std::make_shared<const Answer>(std::move(Result));
}

EntryAction choose(EntryRequest &Request, const Targets &Candidates,
                   const EntryOptions &Options, Instant Now) {
  if (Request.Phase_ != EntryRequest::Phase::Choosing)
    return {};
  if (Now >= Request.Deadline_)
    return onDeadline(Request);
  if (Candidates.empty())
    return waitFor(Options.OwnerPause_);
  ++Request.Id_.Attempt_;
  Request.Target_ = Candidates[Request.Misses_ % Candidates.size()];
  Request.Phase_ = EntryRequest::Phase::Forwarded;
  Request.LinkAlive_ = true;
  Request.Asking_ = false;
  EntryAction Action;
  Action.Kind_ = EntryAction::Kind::Forward;
  Action.Member_ = Request.Target_;
  return Action;
}

EntryAction onForwardEnd(EntryRequest &Request, const ForwardEnd &End,
                         RetryBudget &Budget, const EntryOptions &Options,
                         Instant Now) {
  const bool Expected = Request.Phase_ == EntryRequest::Phase::Forwarded ||
                        Request.Phase_ == EntryRequest::Phase::Settling;
  if (!Expected || !Request.LinkAlive_)
    return {};
  Request.LinkAlive_ = false;
  switch (End.Kind_) {
  case ForwardEnd::Kind::NotSent:
    ++Request.Misses_;
    return chooseAgain(Request, Options.OwnerPause_);
  case ForwardEnd::Kind::Lost:
    return beginSettling(Request, Now);
  case ForwardEnd::Kind::Answered:
    break;
  }
  if (End.Answer_->Outcome_ == Outcome::Ran)
    return reply(Request, End.Answer_);
  if (End.Answer_->Outcome_ == Outcome::NotRun)
    return onNotRun(Request, End, Options);
  Request.MayHaveRun_ = true;
  if (Request.Repeatable_ && spendRetry(Budget))
    return chooseAgain(Request, Options.OwnerPause_);
  return reply(Request, End.Answer_);
}

EntryAction onSilence(EntryRequest &Request, Instant Now) {
  if (Request.Phase_ != EntryRequest::Phase::Forwarded)
    return {};
  return beginSettling(Request, Now);
}

EntryAction onFate(EntryRequest &Request, const FateReport &Report,
                   RetryBudget &Budget, const EntryOptions &Options,
                   Instant Now) {
  if (Request.Phase_ != EntryRequest::Phase::Settling)
    return {};
  Request.Asking_ = false;
  Request.SettlingSince_ = Now;
  switch (Report.Fate_) {
  case Fate::Running:
    return waitFor(Options.AskEvery_);
  case Fate::Refused:
    return chooseAgain(Request, Duration::zero());
  case Fate::Forgotten:
    return onUnknown(Request, Budget, Options);
  case Fate::Finished:
    break;
  }
  Request.LinkAlive_ = true;
  ForwardEnd End;
  End.Kind_ = ForwardEnd::Kind::Answered;
  End.Answer_ = Report.Answer_;
  End.Reason_ = refusalOf(*Report.Answer_);
  return onForwardEnd(Request, End, Budget, Options, Now);
}

EntryAction onLookUpFailed(EntryRequest &Request, bool TargetRemoved,
                           RetryBudget &Budget, const EntryOptions &Options,
                           Instant Now) {
  if (Request.Phase_ != EntryRequest::Phase::Settling)
    return {};
  Request.Asking_ = false;
  if (TargetRemoved || Now - Request.SettlingSince_ > Options.SettleLimit_)
    return onUnknown(Request, Budget, Options);
  return waitFor(Options.AskEvery_);
}

EntryAction wake(EntryRequest &Request, const Targets &Candidates,
                 const EntryOptions &Options, Instant Now) {
  if (Request.Phase_ == EntryRequest::Phase::Choosing)
    return choose(Request, Candidates, Options, Now);
  if (Request.Phase_ == EntryRequest::Phase::Settling && !Request.Asking_)
    return lookUp(Request);
  return {};
}

EntryAction onDeadline(EntryRequest &Request) {
  if (Request.Phase_ == EntryRequest::Phase::Done)
    return {};
  if (Request.Phase_ != EntryRequest::Phase::Choosing)
    Request.MayHaveRun_ = true;
  return reply(Request, givenUp(Request, "the deadline has passed"));
}

} // namespace lagoonhitch
