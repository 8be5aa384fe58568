#ifndef LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
#define LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H

/// \file
/// Stand-in for an upstream.

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
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of an UpstreamStandin.
struct UpstreamStandinOptions {
  std::string Service_;
  std::string InstanceId_;
  std::string Zone_;
  /// Whether requests are rejected unless their key is held.
  bool Sharded_ = false;
  /// Whether heartbeats report the held keys, and the replies declare them.
  bool KeysInHeartbeats_ = false;
  /// Maximum number of requests that run at the same time.
  std::uint32_t Slots_ = 18;
  /// Maximum number of requests that wait for a slot. Further ones never get a
  /// response.
  std::uint32_t QueueCapacity_ = 72;
  /// Processing time of a request.
  std::chrono::microseconds ServiceTime_{1000};
  /// Requests per second that it can handle while cold. It aborts at more than
  /// twice as many within a second.
  std::uint32_t ColdRequestsPerSecond_ = 17;
  /// File to which the start and end of each run are appended as JSON lines;
  /// empty for none.
  std::string RunsFile_;
};

/// Implements the platform's published protocol between an upstream and its
/// daemon: heartbeats, grants with fencing tokens and holds, releases with
/// handover data, slots, and the load header. Requests beyond its queue hang.
/// It records every run.
class UpstreamStandin {
public:
  UpstreamStandin(IoLoop &Loop, const Clock &Time, HttpClient &Client,
                  UpstreamStandinOptions Options);

  /// Sends heartbeats from now on.
  /// \param Address `ip:port` of this upstream.
  /// \param Daemon `ip:port` to which the heartbeats are sent.
  void startHeartbeats(const std::string &Address, const std::string &Daemon);

  /// Handles a request. `POST /_mode` changes the behaviour.
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

  void scheduleHeartbeat();
  std::chrono::milliseconds heartbeatInterval() const;
  void handleGrant(const HttpRequest &Request, HttpExchange &Exchange);
  void handleRelease(const HttpRequest &Request,
                     const std::shared_ptr<HttpExchange> &Exchange);
  void completeReleases();
  void removeHolds(const KeyRange &Range);
  void addHold(const Hold &Granted);
  bool hasSeenHigherFence(const Hold &Granted) const;
  void reportKeys(nlohmann::json &Heartbeat) const;
  void onHeartbeatReply(const HttpResult &Result, Instant SentAt,
                        std::size_t ReportedReleases);
  void declareHolds(const nlohmann::json &Reply, Instant SentAt);
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
  /// Keys that a declaration left out, while requests for them run.
  std::vector<Hold> EndingHolds_;
  /// Released keys that no acknowledged heartbeat has reported yet.
  std::vector<KeyRange> UnreportedReleases_;
  std::list<std::shared_ptr<HttpExchange>> Unanswered_;
  std::map<std::uint64_t, std::shared_ptr<void>> Timers_;
  std::uint64_t LastRunId_ = 0;
  std::uint64_t Sequence_ = 0;
  bool Draining_ = false;
  /// The stated limit of the request rate; empty for none.
  std::string StatedLimit_;
  /// Part of the targets of the requests that crash this upstream; empty for
  /// none.
  std::string CrashOn_;
  /// Whether responses state that it is about to terminate.
  bool LeavingStated_ = false;
  /// Whether it fails requests at the end of their run, and has no capacity for
  /// them when they are sent again.
  bool FailsOnce_ = false;
  /// Whether it answers each request with 500 as soon as it gets it.
  bool FailsAtOnce_ = false;
  /// The IDs of the requests that it has failed for that reason.
  std::set<std::string> Failed_;
  Instant ColdUntil_;
  std::list<Instant> ColdArrivals_;
  std::shared_ptr<void> HeartbeatTimer_;
  /// Own address and the daemon's, for the next heartbeat.
  std::string HeartbeatAddress_;
  std::string Daemon_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
