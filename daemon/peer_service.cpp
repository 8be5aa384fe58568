#include "daemon/peer_service.h"

#include "daemon/forward_codec.h"
#include "daemon/upstream_gateway.h"
#include "platform/store_client.h"

#include <optional>
#include <utility>

namespace lagoonhitch {

namespace {

HttpResponse plainResponse(unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  return Response;
}

} // namespace

PeerService::PeerService(const Clock &Time, UpstreamDoor &Door,
                         StoreClient &Source, std::uint64_t Process)
    : Time_(Time), Door_(Door), Source_(Source), Process_(Process) {}

void PeerService::handle(HttpRequest Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
  if (isForward(Request)) {
    forward(std::move(Request), Exchange);
    return;
  }
  if (Request.Target_.starts_with(RelayPrefix)) {
    relay(std::move(Request), Exchange);
    return;
  }
  tellFate(Request, *Exchange);
}

void PeerService::forward(HttpRequest Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  std::optional<DoorRequest> Forward =
      decodeForward(std::move(Request), Time_.now());
  if (!Forward) {
    Exchange->respond(plainResponse(400));
    return;
  }
  // What was long on its way has less time left than it says.
  const Duration Late = excessDelay(Delays_, Forward->Id_.EntryProcess_,
                                    Forward->SentAt_, Time_.now());
  Forward->Deadline_ -= Late;
  Forward->ObjectiveAt_ -= Late;
  Exchange->onAbandoned([this, Id = Forward->Id_] { Door_.cancel(Id); });
  // Only hosts of shared services are chosen by their load.
  const bool TellsLoad = !Forward->Key_;
  Door_.serve(std::move(*Forward),
              [this, Exchange, TellsLoad](DoorAnswer Answer) {
                if (TellsLoad)
                  Answer.Load_ = Door_.load();
                Exchange->respond(encodeDoorAnswer(std::move(Answer)));
              });
}

void PeerService::tellFate(const HttpRequest &Request, HttpExchange &Exchange) {
  const std::optional<FateQuestion> Question =
      decodeFateQuestion(Request.Target_);
  if (!Question) {
    Exchange.respond(plainResponse(404));
    return;
  }
  AttemptInfo Report;
  // Another process can say nothing of what this one was not given.
  if (Question->Process_ == Process_)
    Report = Door_.lookUp(Question->Id_, Question->StartWithin_);
  Exchange.respond(encodeFateReply(Report));
}

void PeerService::relay(HttpRequest Request,
                        const std::shared_ptr<HttpExchange> &Exchange) {
  std::erase_if(Request.Headers_, [](const HttpHeader &Header) {
    return isHopByHop(Header.Name_);
  });
  Source_.relay(std::move(Request), [Exchange](HttpResult Result) {
    if (Result.Status_ == HttpStatus::Answered)
      Exchange->respond(std::move(Result.Response_));
    else
      Exchange->respond(
          plainResponse(Result.Status_ == HttpStatus::NotSent ? 503 : 504));
  });
}

} // namespace lagoonhitch
