#ifndef LAGOONHITCH_RECOVERY_LEASE_MESSAGE_H
#define LAGOONHITCH_RECOVERY_LEASE_MESSAGE_H

/// \file
/// The messages of the lease protocol.

#include "core/types.h"
#include "ownership/shard_ref.h"

#include <chrono>
#include <variant>
#include <vector>

namespace lagoonhitch {

/// The kinds of messages of the lease protocol. They are complete before
/// LeaseMessage is, as its variant needs.
struct LeaseMessageBodies {
  /// Holder to witness: renews the lease.
  struct Renew {
    std::uint64_t Sequence_ = 0;
    /// Every release recorded in the log before this offset is known to be so.
    Offset Floor_ = 0;
    /// Shards that the holder has stopped serving but may still own in the
    /// table of a successor that is behind.
    std::vector<ShardRef> Withheld_;
  };

  /// Witness to holder: the answer to Renew.
  struct RenewAck {
    std::uint64_t Sequence_ = 0;
    bool Accepted_ = false;
  };

  /// Witness to successor: a holder has gone silent.
  struct Suspect {
    MemberId Victim_ = NoMember;
  };

  /// Successor to witness: asks it to refuse the holder's renewals.
  struct PromiseAsk {
    MemberId Victim_ = NoMember;
    /// The seat set that the successor asks under.
    std::uint64_t Epoch_ = 0;
    /// Numbers the successor's attempts, so that late replies are ignored.
    std::uint64_t Attempt_ = 0;
  };

  /// How a witness answers PromiseAsk.
  enum class PromiseResult { Granted, Refused, Retired };

  /// Witness to successor: the answer to PromiseAsk.
  struct PromiseReply {
    MemberId Victim_ = NoMember;
    std::uint64_t Epoch_ = 0;
    std::uint64_t Attempt_ = 0;
    PromiseResult Result_ = PromiseResult::Refused;
    /// Time since the last renewal was received.
    std::chrono::milliseconds Silence_{0};
    /// Counts the successors that this witness has ever promised.
    std::uint64_t Generation_ = 0;
    Offset Floor_ = 0;
    std::vector<ShardRef> Withheld_;
  };

  /// Old owner to target: released and witnessed, with the old tokens. The
  /// target need not wait for the log.
  struct Granted {
    std::vector<ShardRef> Shards_;
  };

  /// Witness to successor: the victim still renews; does the attempt go on?
  struct PromiseQuery {
    MemberId Victim_ = NoMember;
    std::uint64_t Attempt_ = 0;
  };

  /// Successor to witness: it has not served and gives the promise back.
  struct PromiseWithdraw {
    MemberId Victim_ = NoMember;
    std::uint64_t Attempt_ = 0;
  };

  /// Holder to old witness: promise nobody under this epoch or older ones.
  struct Retire {
    std::uint64_t Epoch_ = 0;
  };

  /// Old witness to holder: the answer to Retire.
  struct RetireAck {
    std::uint64_t Epoch_ = 0;
  };

  /// Holder to heir: asks it never to take over, so that the holder can leave.
  struct WaiveAsk {};

  /// Heir to holder: it will never take over.
  struct WaiveAck {};
};

/// One message between two members of a site. Any may be lost, late, repeated
/// or out of order.
struct LeaseMessage {
  using Renew = LeaseMessageBodies::Renew;
  using RenewAck = LeaseMessageBodies::RenewAck;
  using Suspect = LeaseMessageBodies::Suspect;
  using PromiseAsk = LeaseMessageBodies::PromiseAsk;
  using PromiseResult = LeaseMessageBodies::PromiseResult;
  using PromiseReply = LeaseMessageBodies::PromiseReply;
  using Granted = LeaseMessageBodies::Granted;
  using PromiseQuery = LeaseMessageBodies::PromiseQuery;
  using PromiseWithdraw = LeaseMessageBodies::PromiseWithdraw;
  using Retire = LeaseMessageBodies::Retire;
  using RetireAck = LeaseMessageBodies::RetireAck;
  using WaiveAsk = LeaseMessageBodies::WaiveAsk;
  using WaiveAck = LeaseMessageBodies::WaiveAck;

  using Body = std::variant<Renew, RenewAck, Suspect, PromiseAsk, PromiseReply,
                            PromiseQuery, PromiseWithdraw, Retire, RetireAck,
                            WaiveAsk, WaiveAck, Granted>;

  MemberId From_ = NoMember;
  MemberId To_ = NoMember;
  Body Body_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_LEASE_MESSAGE_H
