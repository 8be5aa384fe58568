#include "daemon/own_response.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr unsigned Unavailable = 503;
constexpr std::chrono::milliseconds MinRetryAfter{50};
/// The largest part of Retry-After that is added to it at random.
constexpr double MaxSpread = 0.5;

} // namespace

HttpResponse errorResponse(unsigned Status, const std::string &Reason) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = absl::StrCat("{\"error\":\"", Reason, "\"}");
  return Response;
}

Duration latestRetryAfter(Duration Left) {
  return std::chrono::duration_cast<Duration>(Left / (1 + MaxSpread));
}

HttpResponse rejectionResponse(const std::string &Reason, Duration RetryAfter,
                               std::uint64_t Draw) {
  constexpr std::uint64_t Steps = 1024;
  const double Spread =
      1 + MaxSpread * static_cast<double>(Draw % Steps) / Steps;
  const std::chrono::duration<double> Pause =
      std::max<Duration>(RetryAfter, MinRetryAfter);
  HttpResponse Response = errorResponse(Unavailable, Reason);
  Response.Headers_.push_back(
      {"Retry-After", absl::StrFormat("%.3f", Pause.count() * Spread)});
  return Response;
}

} // namespace lagoonhitch
