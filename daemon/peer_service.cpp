#include "daemon/peer_service.h"

#include "daemon/owner_service.h"
#include "routing/entry_request.h"

#include <utility>

namespace lagoonhitch {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusMalformed = 400;
constexpr unsigned StatusOtherProcess = 421;

} // namespace

PeerService::PeerService(const Clock &Time, OwnerService &Owner,
                         std::uint64_t Process)
    : Time_(Time), Owner_(Owner), Process_(Process) {}

PeerStamp PeerService::stamp() const { return {Process_, Time_.now()}; }

void PeerService::handle(HttpRequest Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
  if (findHeader(Request.Headers_, "Lagoonhitch-Service") != nullptr) {
    handleForward(std::move(Request), Exchange);
    return;
  }
  if (Request.Target_ == "/fate") {
    handleLookUp(Request, *Exchange);
    return;
  }
  if (Request.Target_ == "/cancel") {
    handleCancel(Request, *Exchange);
    return;
  }
  HttpResponse Response;
  Response.Status_ = Request.Target_ == "/clock" ? StatusOk : StatusMalformed;
  addStamp(Response, stamp());
  Exchange->respond(std::move(Response));
}

void PeerService::handleForward(HttpRequest Request,
                                const std::shared_ptr<HttpExchange> &Exchange) {
  std::uint64_t Meant = 0;
  std::optional<ForwardedRequest> Forward =
      decodeForward(std::move(Request), Time_.now(), Meant);
  if (!Forward || Meant != Process_) {
    const AnswerPtr Refusal = makeRefusal(
        Outcome::NotRun, Forward ? StatusOtherProcess : StatusMalformed,
        "protocol", "the request is not meant for this process",
        "send it again");
    HttpResponse Response = encodeAnswer(*Refusal, stamp());
    Response.Headers_.push_back(
        {RefusalHeader, refusalName(RefusalReason::NotOwner)});
    Exchange->respond(std::move(Response));
    return;
  }
  Owner_.serve(std::move(*Forward), [this, Exchange](const AnswerPtr &Result) {
    Exchange->respond(encodeAnswer(*Result, stamp()));
  });
}

void PeerService::handleLookUp(const HttpRequest &Request,
                               HttpExchange &Exchange) {
  const std::optional<LookUp> Question = decodeLookUp(Request);
  HttpResponse Response;
  if (Question && Question->Process_ == Process_) {
    Response =
        encodeFate(Owner_.lookUp(Question->Id_, Question->StartBy_), stamp());
  } else {
    Response.Status_ = Question ? StatusOtherProcess : StatusMalformed;
    addStamp(Response, stamp());
  }
  Exchange.respond(std::move(Response));
}

void PeerService::handleCancel(const HttpRequest &Request,
                               HttpExchange &Exchange) {
  const std::optional<LookUp> Question = decodeLookUp(Request);
  if (Question && Question->Process_ == Process_)
    Owner_.cancel(Question->Id_);
  HttpResponse Response;
  addStamp(Response, stamp());
  Exchange.respond(std::move(Response));
}

} // namespace lagoonhitch
