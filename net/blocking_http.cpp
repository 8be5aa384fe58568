#include "net/blocking_http.h"

#include "net/http_client.h"
#include "net/io_loop.h"

#include <utility>

namespace lagoonhitch {

namespace {

/// Large enough for the largest body: a daemon's status with all key tables.
constexpr std::size_t BlockingBodyLimit = 16 * 1024 * 1024;

} // namespace

HttpResult callBlocking(const Clock &Time, const std::string &Address,
                        HttpRequest Request, Duration Timeout) {
  IoLoop Loop;
  HttpClientOptions ClientOptions;
  ClientOptions.MaxBodyBytes_ = BlockingBodyLimit;
  HttpClient Client(Loop, Time, ClientOptions);
  HttpResult Result;
  HttpCallOptions Options;
  Options.Timeout_ = Timeout;
  Client.send(
      Address, std::move(Request), Options,
      [&Result](HttpResult CallResult) { Result = std::move(CallResult); });
  Loop.runUntilIdle();
  return Result;
}

} // namespace lagoonhitch
