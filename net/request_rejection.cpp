#include "net/request_rejection.h"

#include <string>

namespace lagoonhitch {

namespace {

unsigned statusOf(RequestRejection Reason) {
  switch (Reason) {
  case RequestRejection::HeaderTooLarge:
    return 431;
  case RequestRejection::BodyTooLarge:
    return 413;
  case RequestRejection::Late:
    return 408;
  case RequestRejection::NoMemory:
  case RequestRejection::TooManyConnections:
  case RequestRejection::ResponseNotRead:
    return 503;
  case RequestRejection::Malformed:
    break;
  }
  return 400;
}

const char *messageOf(RequestRejection Reason) {
  switch (Reason) {
  case RequestRejection::HeaderTooLarge:
    return "the request headers exceed the size limit";
  case RequestRejection::BodyTooLarge:
    return "the request body exceeds the size limit";
  case RequestRejection::Late:
    return "the request was not received completely in time";
  case RequestRejection::NoMemory:
    return "the request body does not fit into the memory now";
  case RequestRejection::TooManyConnections:
    return "too many connections are open";
  case RequestRejection::ResponseNotRead:
    return "the response was not read";
  case RequestRejection::Malformed:
    break;
  }
  return "the request is malformed";
}

} // namespace

const char *rejectionName(RequestRejection Reason) {
  switch (Reason) {
  case RequestRejection::Malformed:
    return "malformed";
  case RequestRejection::HeaderTooLarge:
    return "header_too_large";
  case RequestRejection::BodyTooLarge:
    return "body_too_large";
  case RequestRejection::Late:
    return "late";
  case RequestRejection::NoMemory:
    return "no_memory";
  case RequestRejection::TooManyConnections:
    return "too_many_connections";
  case RequestRejection::ResponseNotRead:
    return "response_not_read";
  }
  return "malformed";
}

HttpResponse rejectionResponse(RequestRejection Reason) {
  HttpResponse Response;
  Response.Status_ = statusOf(Reason);
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Headers_.push_back({"Lagoonhitch-Outcome", "not-run"});
  if (Reason == RequestRejection::NoMemory) {
    constexpr double MillisPerSecond = 1000;
    Response.Headers_.push_back(
        {"Retry-After",
         std::to_string(static_cast<double>(MemoryRetryAfter.count()) /
                        MillisPerSecond)});
  }
  Response.Body_ = std::string("{\"kind\":\"protocol\",\"message\":\"") +
                   messageOf(Reason) +
                   "\",\"remedy\":\"send one well-formed request within "
                   "the limits of docs/SETTINGS.md\"}";
  return Response;
}

} // namespace lagoonhitch
