#include "daemon/own_response.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr unsigned Unavailable = 503;
constexpr std::chrono::milliseconds MinRetryAfter{50};

} // namespace

HttpResponse errorResponse(unsigned Status, const std::string &Reason) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = absl::StrCat("{\"error\":\"", Reason, "\"}");
  return Response;
}

HttpResponse rejectionResponse(const std::string &Reason, Duration RetryAfter,
                               std::uint64_t Draw) {
  constexpr std::uint64_t Steps = 1024;
  const double Spread = 1 + 0.5 * static_cast<double>(Draw % Steps) / Steps;
  const std::chrono::duration<double> Pause =
      std::max<Duration>(RetryAfter, MinRetryAfter);
  HttpResponse Response = errorResponse(Unavailable, Reason);
  Response.Headers_.push_back(
      {"Retry-After", absl::StrFormat("%.3f", Pause.count() * Spread)});
  return Response;
}

} // namespace lagoonhitch
