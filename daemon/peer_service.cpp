#include "daemon/peer_service.h"

#include "daemon/forward_codec.h"
#include "daemon/upstream_gateway.h"
#include "platform/store_client.h"

#include <optional>
#include <utility>

namespace lagoonhitch {

namespace {

/// Minimum time between two reports of progress to the client of a relayed
/// call.
constexpr std::chrono::milliseconds ProgressInterval{100};

HttpResponse plainResponse(unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  return Response;
}

} // namespace

PeerService::PeerService(const Clock &Time, UpstreamGateway &Gateway,
                         StoreClient &Store, std::uint64_t Process,
                         ArrivalCheck IsArriving)
    : Time_(Time), Gateway_(Gateway), Store_(Store), Process_(Process),
      IsArriving_(std::move(IsArriving)) {}

void PeerService::handle(HttpRequest Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
  if (isForwardedRequest(Request)) {
    handleForwardedRequest(std::move(Request), Exchange);
    return;
  }
  if (Request.Target_.starts_with(RelayPathPrefix)) {
    relayToStore(std::move(Request), Exchange);
    return;
  }
  answerStatusQuery(Request, *Exchange);
}

void PeerService::handleForwardedRequest(
    HttpRequest Request, const std::shared_ptr<HttpExchange> &Exchange) {
  std::optional<GatewayRequest> Forwarded =
      decodeForwardedRequest(std::move(Request), Time_.now());
  if (!Forwarded) {
    Exchange->respond(plainResponse(400));
    return;
  }
  // The remaining times were set when the request was sent, so subtract its
  // excess transit delay.
  const Duration ExcessDelay = excessDelay(
      Delays_, Forwarded->Id_.EntryProcess_, Forwarded->SentAt_, Time_.now());
  Forwarded->Deadline_ -= ExcessDelay;
  Forwarded->ObjectiveAt_ -= ExcessDelay;
  Exchange->onAbandoned([this, Id = Forwarded->Id_](ConnectionEnd End) {
    if (isBroken(End))
      Gateway_.onConnectionBroken(Id);
    else
      Gateway_.cancel(Id, "its entry daemon closed the connection");
  });
  // Hosts are selected by load for shared services only, whose requests have no
  // key.
  const bool ReportsLoad = !Forwarded->Key_;
  Gateway_.serve(std::move(*Forwarded),
                 [this, Exchange, ReportsLoad](GatewayResult Result) {
                   if (ReportsLoad)
                     Result.Load_ = Gateway_.load();
                   Exchange->respond(encodeGatewayResult(std::move(Result)));
                 });
}

void PeerService::answerStatusQuery(const HttpRequest &Request,
                                    HttpExchange &Exchange) {
  const std::optional<AttemptStatusQuery> Query =
      decodeStatusQuery(Request.Target_);
  if (!Query) {
    Exchange.respond(plainResponse(404));
    return;
  }
  // The entry daemon may name an earlier process although this one has received
  // the attempt. If not, the earlier one may have run it, so this one can't
  // promise that it never runs.
  const std::optional<AttemptInfo> Known = Gateway_.findStatus(Query->Id_);
  AttemptInfo Info = Known.value_or(AttemptInfo());
  if (!Known && IsArriving_(Query->Id_))
    Info.Status_ = AttemptStatus::Running;
  else if (Query->Process_ == Process_)
    Info = Gateway_.lookUpStatus(Query->Id_, Query->StartWithin_);
  if (isCancellation(Request))
    Gateway_.cancelAndRespond(Query->Id_, "its entry daemon cancelled it");
  Exchange.respond(encodeStatusReply(Info));
}

void PeerService::relayToStore(HttpRequest Request,
                               const std::shared_ptr<HttpExchange> &Exchange) {
  std::erase_if(Request.Headers_, [](const HttpHeader &Header) {
    return isHopByHop(Header.Name_);
  });
  // The client gives the reply as much time as if it read it itself.
  const auto OnProgress = [this, Exchange, ReportAt = Instant()]() mutable {
    const Instant Now = Time_.now();
    if (Now < ReportAt)
      return;
    ReportAt = Now + ProgressInterval;
    Exchange->reportProgress();
  };
  Store_.relay(std::move(Request), OnProgress, [Exchange](HttpResult Result) {
    if (Result.Status_ == HttpCallStatus::Completed)
      Exchange->respond(std::move(Result.Response_));
    else
      Exchange->respond(
          plainResponse(Result.Status_ == HttpCallStatus::NotSent ? 503 : 504));
  });
}

} // namespace lagoonhitch
