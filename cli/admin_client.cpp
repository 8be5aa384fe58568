#include "cli/admin_client.h"

#include "core/error.h"
#include "net/blocking_http.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::seconds CallTimeout{5};

} // namespace

AdminClient::AdminClient(const Clock &Time, std::string Address)
    : Time_(Time), Address_(std::move(Address)) {}

nlohmann::json AdminClient::get(const std::string &Target) const {
  HttpRequest Request;
  Request.Target_ = Target;
  const HttpResult Result =
      callBlocking(Time_, Address_, std::move(Request), CallTimeout);
  if (Result.Status_ != HttpCallStatus::Completed)
    throw Error(
        ErrorKind::Unavailable, "no response from " + Address_,
        "check that the daemon is running and that --admin is its admin "
        "address");
  nlohmann::json Body =
      nlohmann::json::parse(Result.Response_.Body_, nullptr, false);
  if (Body.is_discarded())
    throw Error(ErrorKind::Protocol, Address_ + " did not respond with JSON",
                "check that --admin is a daemon's admin address");
  if (Result.Response_.Status_ != 200)
    throw Error(ErrorKind::Refused, Body.value("message", "refused"),
                Body.value("remedy", ""));
  return Body;
}

} // namespace lagoonhitch
