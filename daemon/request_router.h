#ifndef LAGOONHITCH_DAEMON_REQUEST_ROUTER_H
#define LAGOONHITCH_DAEMON_REQUEST_ROUTER_H

/// \file
/// Routes callers' requests to upstream gateways and returns the responses.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/caller_interface.h"
#include "daemon/gateway_request.h"
#include "daemon/gateway_result.h"
#include "daemon/shared_host_selector.h"
#include "daemon/site_state.h"
#include "limits/shared_retry_budget.h"
#include "net/connection_end.h"
#include "net/header_names.h"
#include "net/http_result.h"
#include "routing/request_plan.h"
#include "routing/service_room.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lagoonhitch {

class HttpClient;
class HttpExchange;
class IoLoop;
class Metrics;
class UpstreamGateway;
struct EntryRequest;

/// Identity of the daemon that a RequestRouter runs in.
struct RequestRouterConfig {
  /// The daemon's host.
  std::string Host_;
  /// The host's availability zone.
  std::string Zone_;
  /// The service of the local upstream.
  std::string Service_;
  /// The daemon's process ID: a random number chosen at its start.
  std::uint64_t Process_ = 0;
};

/// Sends each caller's request to the gateway of an upstream, local or on a
/// peer, retries it where that is safe, and responds to the caller. Serving
/// thread only.
class RequestRouter {
public:
  /// Logs an event about a request. Parent is the request that made it as a
  /// call; empty if it is none.
  using EventCallback = std::function<void(
      EventId Event, const std::string &RequestId, const std::string &Details,
      const std::string &Parent)>;

  /// \param Site the daemon's view of the site; updated by responses.
  /// \param PeerClient the client for peers' gateways.
  /// \param Gateway the gateway of the local upstream.
  /// \param Names the names of the headers used by callers and upstreams.
  RequestRouter(IoLoop &Loop, const Clock &Time, SiteState &Site,
                HttpClient &PeerClient, UpstreamGateway &Gateway,
                Metrics &DaemonMetrics, HeaderNames Names,
                SharedRetryBudgetOptions RetryBudget,
                RequestRouterConfig Config, EventCallback LogEvent);
  ~RequestRouter();
  RequestRouter(const RequestRouter &) = delete;
  RequestRouter &operator=(const RequestRouter &) = delete;

  /// Handles a request from a caller.
  /// \param Interface routes the request and adds headers to its response; must
  /// outlive the request.
  void handle(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange,
              const CallerInterface &Interface);

  /// Retries requests that wait for their key's owner. To be called after key
  /// ownership or membership has changed.
  void onSiteChanged();

  /// Rejects further requests of callers as not run. They find other hosts.
  void stopAccepting() { Accepting_ = false; }

  /// Responds to all open requests: those that have provably not run are
  /// rejected, the outcome of the others is unknown.
  void endOpenRequests();

  /// Returns the number of requests that have no response yet.
  std::size_t openRequests() const { return OpenRequests_.size(); }

private:
  using EntryRequestPtr = std::shared_ptr<EntryRequest>;

  void joinParent(EntryRequest &Request);
  void leaveParent(const EntryRequest &Request, Outcome FinalOutcome);
  ServiceRoom roomFor(const EntryRequest &Request);
  void startFirstAttempt(const EntryRequestPtr &Request);
  void startAttempt(const EntryRequestPtr &Request);
  std::string ownerOf(const EntryRequest &Request) const;
  std::optional<std::string> selectHost(const EntryRequest &Request,
                                        const std::set<std::string> &Tried);
  bool hasNextHost(const EntryRequest &Request);
  void sendToHost(const EntryRequestPtr &Request, const std::string &Host);
  void lookUpAgain(const EntryRequestPtr &Request);
  void sendToPeer(const EntryRequestPtr &Request, const FleetMember &Member);
  void onPeerResult(const EntryRequestPtr &Request, std::uint32_t Attempt,
                    HttpResult Result);
  void scheduleStatusQuery(const EntryRequestPtr &Request, Duration Delay);
  static bool noteReceivedBytes(EntryRequest &Request);
  void queryStatus(const EntryRequestPtr &Request, std::uint32_t Attempt);
  void onStatusReply(const EntryRequestPtr &Request, std::uint32_t Attempt,
                     HttpResult Result);
  void onGatewayResult(const EntryRequestPtr &Request, std::uint32_t Attempt,
                       GatewayResult Result);
  void executeStep(const EntryRequestPtr &Request, const PlanStep &Step);
  SpendRetry spendRetryOf(const EntryRequest &Request);
  bool takeRetryToken(const std::string &Service, RetryCause Cause);
  void avoidHost(const EntryRequest &Request);
  void endAttempt(EntryRequest &Request);
  bool giveUpAttempt(EntryRequest &Request);
  void onDeadlineExpired(const EntryRequestPtr &Request);
  void onAbandoned(const EntryRequestPtr &Request, ConnectionEnd End);
  void cancelAttempt(EntryRequest &Request);
  void logEvent(EventId Event, const EntryRequest &Request,
                const std::string &Details);
  void reject(const EntryRequestPtr &Request, const std::string &Reason,
              Duration RetryAfter);
  void fail(const EntryRequestPtr &Request, unsigned Status,
            const std::string &Reason);
  void reply(const EntryRequestPtr &Request, HttpResponse Response,
             Outcome FinalOutcome);

  IoLoop &Loop_;
  const Clock &Time_;
  SiteState &Site_;
  HttpClient &PeerClient_;
  UpstreamGateway &Gateway_;
  Metrics &DaemonMetrics_;
  HeaderNames Names_;
  SharedRetryBudgetOptions RetryBudgetOptions_;
  RequestRouterConfig Config_;
  EventCallback LogEvent_;
  SharedHostSelector HostSelector_;
  ServiceRoomOptions ServiceRoomOptions_;
  std::map<std::string, SharedRetryBudget> RetryBudgets_;
  std::map<std::uint64_t, EntryRequestPtr> OpenRequests_;
  std::uint64_t LastNumber_ = 0;
  bool Accepting_ = true;
  std::mt19937_64 Random_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_REQUEST_ROUTER_H
