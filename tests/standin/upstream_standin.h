#ifndef LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
#define LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H

/// \file
/// A stand-in for an upstream of the users' platform.

#include "core/clock.h"
#include "core/key_range.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "net/io_loop.h"

#include <chrono>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of an UpstreamStandin.
struct UpstreamStandinOptions {
  std::string Service_;
  std::string InstanceId_;
  std::string Zone_;
  bool Sharded_ = false;
  std::uint32_t Slots_ = 18;
  /// Requests that wait for a slot; further ones never get an answer.
  std::uint32_t QueueCapacity_ = 72;
  std::chrono::microseconds ServiceTime_{1000};
  /// Requests a second that it bears while cold.
  std::uint32_t ColdRequestsPerSecond_ = 17;
  /// File for one JSON line per run; empty for none.
  std::string RunsFile_;
};

/// Speaks the platform's published protocol towards the daemon beside it:
/// heartbeats, grants with fences and holds, releases with a handover, slots, a
/// queue that hangs when full, a load header. It records every run.
class UpstreamStandin {
public:
  UpstreamStandin(IoLoop &Loop, const Clock &Time, HttpClient &Client,
                  UpstreamStandinOptions Options);

  /// Sends heartbeats from now on.
  /// \param Own its own `ip:port`, \param Daemon where heartbeats go.
  void startHeartbeats(const std::string &Address, const std::string &Daemon);

  /// Handles one request; `POST /_mode` changes its behaviour.
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);

private:
  struct Hold {
    KeyRange Range_;
    std::uint64_t Fence_ = 0;
    Instant ExpiresAt_;
  };
  struct Run {
    HttpRequest Request_;
    std::shared_ptr<HttpExchange> Exchange_;
    Instant StartedAt_;
    Instant Deadline_;
    std::uint64_t Fence_ = 0;
  };

  void handleGrant(const HttpRequest &Request, HttpExchange &Exchange);
  void handleRelease(const HttpRequest &Request,
                     const std::shared_ptr<HttpExchange> &Exchange);
  void completeReleases();
  bool isRunningKeysIn(const KeyRange &Range) const;
  const Hold *findHold(const HttpRequest &Request) const;
  void admit(const HttpRequest &Request,
             const std::shared_ptr<HttpExchange> &Exchange);
  void startRun(const HttpRequest &Request,
                const std::shared_ptr<HttpExchange> &Exchange,
                std::uint64_t Fence);
  void finishRun(std::uint64_t RunId);
  bool exceedsColdRate();
  void setMode(const HttpRequest &Request, HttpExchange &Exchange);
  void recordRun(const Run &Recorded, const Instant *End);
  HttpResponse makeResponse(const HttpRequest &Request, unsigned Status) const;

  IoLoop &Loop_;
  const Clock &Time_;
  HttpClient &Client_;
  UpstreamStandinOptions Options_;
  std::int64_t StartMillis_;
  std::ofstream Runs_;
  std::vector<Hold> Holds_;
  std::vector<Hold> HighestFences_;
  std::map<std::uint64_t, Run> Running_;
  std::list<std::pair<HttpRequest, std::shared_ptr<HttpExchange>>> Waiting_;
  std::list<std::pair<KeyRange, std::shared_ptr<HttpExchange>>> Releases_;
  std::list<std::shared_ptr<HttpExchange>> Unanswered_;
  std::map<std::uint64_t, std::shared_ptr<void>> Timers_;
  std::uint64_t LastRunId_ = 0;
  std::uint64_t Sequence_ = 0;
  bool Draining_ = false;
  Instant ColdUntil_;
  std::list<Instant> ColdArrivals_;
  std::shared_ptr<void> HeartbeatTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
