#ifndef LAGOONHITCH_ROUTING_ENTRY_REQUEST_H
#define LAGOONHITCH_ROUTING_ENTRY_REQUEST_H

/// \file
/// The entry's decisions about one request, from its arrival to its answer.

#include "core/clock.h"
#include "core/request_id.h"
#include "core/types.h"
#include "limits/retry_budget.h"
#include "recovery/answer.h"
#include "recovery/fate_table.h"
#include "routing/entry_options.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Why an owner has refused a request that has not run.
enum class RefusalReason { None, NotOwner, Overloaded, TooLate };

/// Returns the name of a reason as it stands in a header.
const char *refusalName(RefusalReason Reason);

/// Parses the name of a reason; None for other texts.
RefusalReason parseRefusal(const std::string &Name);

/// The header of an answer that tells why the owner has refused.
inline constexpr const char *RefusalHeader = "Lagoonhitch-Refusal";

/// Reads the reason from an answer's headers.
RefusalReason refusalOf(const Answer &Result);

/// How a forwarded attempt has ended on its own connection.
struct ForwardEnd {
  enum class Kind {
    /// The owner's answer is at hand.
    Answered,
    /// Nothing has left this process.
    NotSent,
    /// The connection broke or timed out after the sending.
    Lost,
  };
  Kind Kind_ = Kind::NotSent;
  AnswerPtr Answer_;
  RefusalReason Reason_ = RefusalReason::None;
};

/// What an entry is to do next about a request.
struct EntryAction {
  enum class Kind {
    /// Wait for what is already under way.
    None,
    /// Send attempt Id_ to Member_.
    Forward,
    /// Ask Member_ over a new connection what became of attempt Id_.
    LookUp,
    /// Call wake() after Delay_.
    Wait,
    /// Give Answer_ to the caller. Nothing follows.
    Reply,
  };
  Kind Kind_ = Kind::None;
  MemberId Member_ = NoMember;
  Duration Delay_{};
  AnswerPtr Answer_;
};

/// The members that a request may go to, best first.
using Targets = std::vector<MemberId>;

/// One request at its entry.
struct EntryRequest {
  enum class Phase { Choosing, Forwarded, Settling, Done };

  RequestId Id_;
  /// Whether the key has one owner, so that others can't take the request.
  bool Divided_ = false;
  bool Repeatable_ = false;
  Instant Deadline_;
  Phase Phase_ = Phase::Choosing;
  /// Whom the current attempt was sent to.
  MemberId Target_ = NoMember;
  /// Counts the targets that could not be reached or were not the owner.
  std::uint32_t Misses_ = 0;
  std::uint32_t Sheds_ = 0;
  /// Whether the attempt's own connection may still bring an answer.
  bool LinkAlive_ = false;
  bool Asking_ = false;
  Instant SettlingSince_;
  /// Whether some attempt may have run without a known answer.
  bool MayHaveRun_ = false;
};

/// Chooses a target for a request that waits for one.
EntryAction choose(EntryRequest &Request, const Targets &Candidates,
                   const EntryOptions &Options, Instant Now);

/// Takes the end of the current attempt's forwarding.
EntryAction onForwardEnd(EntryRequest &Request, const ForwardEnd &End,
                         RetryBudget &Budget, const EntryOptions &Options,
                         Instant Now);

/// Takes the passing of SettleAfter_ without an answer.
EntryAction onSilence(EntryRequest &Request, Instant Now);

/// Takes the owner's word about the current attempt.
EntryAction onFate(EntryRequest &Request, const FateReport &Report,
                   RetryBudget &Budget, const EntryOptions &Options,
                   Instant Now);

/// Takes the failure of a look-up.
/// \param TargetRemoved whether the log says that the target's incarnation
/// is over, so that it can't be asked any more.
EntryAction onLookUpFailed(EntryRequest &Request, bool TargetRemoved,
                           RetryBudget &Budget, const EntryOptions &Options,
                           Instant Now);

/// Continues after a Wait: chooses again, or asks again.
EntryAction wake(EntryRequest &Request, const Targets &Candidates,
                 const EntryOptions &Options, Instant Now);

/// Takes the passing of the deadline.
EntryAction onDeadline(EntryRequest &Request);

/// Makes the answer of a request that was refused or given up.
AnswerPtr makeRefusal(Outcome Known, unsigned Status, const std::string &Kind,
                      const std::string &Message, const std::string &Remedy);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_ENTRY_REQUEST_H
