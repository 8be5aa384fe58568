/// \file
/// How a RequestRouter queries the status of an attempt, and ends one.

#include "daemon/request_router.h"

#include "daemon/attempt_description.h"
#include "daemon/entry_request.h"
#include "daemon/forward_codec.h"
#include "daemon/request_description.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "net/io_loop.h"

#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds StatusQueryTimeout{400};
constexpr std::chrono::milliseconds StatusQueryInterval{250};

HttpCallOptions statusQueryOptions() {
  HttpCallOptions Options;
  Options.Timeout_ = StatusQueryTimeout;
  Options.RequireNewConnection_ = true;
  return Options;
}

} // namespace

/// Makes the latest unresolved attempt the current one again.
void RequestRouter::lookUpAgain(const EntryRequestPtr &Request) {
  const UnresolvedAttempt Earlier = std::move(Request->Unresolved_.back());
  Request->Unresolved_.pop_back();
  ++Request->Attempt_;
  Request->GatewayRequest_.Id_ = Earlier.Id_;
  Request->Host_ = Earlier.Host_;
  Request->PeerProcess_ = Earlier.PeerProcess_;
  Request->PeerAddress_ = Earlier.PeerAddress_;
  Request->SentAt_ = Earlier.SentAt_;
  Request->EndCause_ = nullptr;
  if (FleetMember *Member = findMember(Site_.Fleet_, Request->Host_))
    ++Member->InFlight_;
  queryStatus(Request, Request->Attempt_);
}

void RequestRouter::scheduleStatusQuery(const EntryRequestPtr &Request,
                                        Duration Delay) {
  Request->Timer_ =
      Loop_.after(Delay, [this, Request, Attempt = Request->Attempt_] {
        queryStatus(Request, Attempt);
      });
}

/// Returns whether more of the response to the current attempt has arrived
/// since the last call. If so, a wait for it starts anew.
bool RequestRouter::noteReceivedBytes(EntryRequest &Request) {
  if (!Request.Call_)
    return false;
  const std::size_t Received = HttpClient::receivedBytes(Request.Call_);
  if (Received == Request.ReceivedBytes_)
    return false;
  Request.ReceivedBytes_ = Received;
  Request.Plan_.AnswerWaitEnd_.reset();
  return true;
}

void RequestRouter::queryStatus(const EntryRequestPtr &Request,
                                std::uint32_t Attempt) {
  const bool Current = !Request->Done_ && Attempt == Request->Attempt_;
  if (!Current || Request->StatusQuery_)
    return;
  // A reply may repeat the whole answer and would slow the response down.
  if (noteReceivedBytes(*Request)) {
    scheduleStatusQuery(Request, StatusQueryInterval);
    return;
  }
  ++Request->StatusQueries_;
  Request->StatusQuery_ = PeerClient_.send(
      Request->PeerAddress_,
      encodeStatusQuery(statusQueryFor(*Request, Time_.now())),
      statusQueryOptions(), [this, Request, Attempt](HttpResult Result) {
        onStatusReply(Request, Attempt, std::move(Result));
      });
}

void RequestRouter::onStatusReply(const EntryRequestPtr &Request,
                                  std::uint32_t Attempt, HttpResult Result) {
  if (Request->Done_ || Attempt != Request->Attempt_)
    return;
  Request->StatusQuery_.reset();
  AttemptStatusReply Reply;
  const HttpCallStatus Status = Result.Status_;
  if (Status == HttpCallStatus::Completed)
    Reply = decodeStatusReply(std::move(Result.Response_));
  const AttemptLookup Lookup = toAttemptLookup(Status, Reply.Kind_);
  Request->LatestLookup_ = Lookup;
  AttemptView View;
  View.Lookup_ = Lookup;
  View.Connected_ = Request->Call_ != nullptr;
  View.OtherHost_ =
      !Request->GatewayRequest_.Key_ || ownerOf(*Request) != Request->Host_;
  if (!View.Connected_ && Lookup == AttemptLookup::Unreachable)
    avoidHost(*Request);
  noteReceivedBytes(*Request);
  // A retry is of no use while no host can take the next attempt.
  const SpendRetry SpendRetryIfUseful = [this, &Request](RetryCause Cause) {
    return hasNextHost(*Request) && spendRetryOf(*Request)(Cause);
  };
  if (shouldStopWaiting(Request->Plan_, View, SpendRetryIfUseful,
                        Time_.now())) {
    PeerClient_.cancel(Request->Call_);
    PeerClient_.closeIdle(Request->PeerAddress_);
    Request->EndCause_ = describeLookup(Lookup);
    logEvent(EventId::LinkSettled, *Request,
             describeAttempt(*Request, Request->EndCause_, Time_.now()));
    onGatewayResult(Request, Attempt,
                    Lookup == AttemptLookup::Ended ? std::move(Reply.Result_)
                                                   : GatewayResult());
    return;
  }
  // The attempt is still running, or the gateway is temporarily unreachable. In
  // that case, idle connections to it may be dead.
  const bool Failed =
      Lookup == AttemptLookup::TimedOut || Lookup == AttemptLookup::Unreachable;
  if (Failed)
    PeerClient_.closeIdle(Request->PeerAddress_);
  scheduleStatusQuery(Request, StatusQueryInterval);
}

void RequestRouter::endAttempt(EntryRequest &Request) {
  FleetMember *Member = findMember(Site_.Fleet_, Request.Host_);
  if (Member != nullptr && Member->InFlight_ > 0)
    --Member->InFlight_;
  PeerClient_.cancel(Request.StatusQuery_);
  Request.StatusQuery_.reset();
  Request.Timer_.reset();
  Request.Call_.reset();
}

void RequestRouter::cancelAttempt(EntryRequest &Request) {
  // A peer's gateway cancels the attempt when it sees the closed connection.
  const bool NeedsOrder = isAttemptOpen(Request) && Request.Call_ == nullptr &&
                          Request.Host_ != Config_.Host_;
  if (NeedsOrder)
    PeerClient_.send(Request.PeerAddress_,
                     encodeCancellation(statusQueryFor(Request, Time_.now())),
                     statusQueryOptions(), [](const HttpResult &) {});
  PeerClient_.cancel(Request.Call_);
  endAttempt(Request);
}

/// Cancels the current attempt, if any. Returns whether it has provably not run
/// and never will.
bool RequestRouter::giveUpAttempt(EntryRequest &Request) {
  if (!isAttemptOpen(Request))
    return true;
  const bool Local = Request.Host_ == Config_.Host_;
  const bool NotRun =
      Local && Gateway_.cancel(Request.GatewayRequest_.Id_,
                               "its deadline passed or its host stops");
  cancelAttempt(Request);
  return NotRun;
}

} // namespace lagoonhitch
