#ifndef LAGOONHITCH_DAEMON_REQUEST_ROUTER_H
#define LAGOONHITCH_DAEMON_REQUEST_ROUTER_H

/// \file
/// The entry's side of requests: from a caller to an upstream's door and back.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/caller_interface.h"
#include "daemon/gateway_request.h"
#include "daemon/gateway_result.h"
#include "daemon/site_state.h"
#include "limits/shared_retry_budget.h"
#include "net/header_names.h"
#include "net/http_result.h"
#include "routing/host_choice.h"
#include "routing/request_plan.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace lagoonhitch {

class HttpClient;
class HttpExchange;
class IoLoop;
class Metrics;
class UpstreamDoor;

/// Where a router stands.
struct RouterPlace {
  std::string Host_;
  std::string Zone_;
  /// The service of the upstream beside it.
  std::string Service_;
  /// The random number of this process.
  std::uint64_t Process_ = 0;
};

/// Takes callers' requests to the doors of upstreams. Serving thread only.
class RequestRouter {
public:
  using Report = std::function<void(EventId Event, const std::string &RequestId,
                                    const std::string &Details)>;

  RequestRouter(IoLoop &Loop, const Clock &Time, SiteState &Site,
                HttpClient &Peers, UpstreamDoor &Door, Metrics &Numbers,
                HeaderNames Names, SharedRetryBudgetOptions Budget,
                RouterPlace Place, Report Tell);
  ~RequestRouter();
  RequestRouter(const RequestRouter &) = delete;
  RequestRouter &operator=(const RequestRouter &) = delete;

  /// Handles a request from a caller.
  /// \param Callers tells how it is to be treated.
  void handle(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange,
              const CallerInterface &Callers);

  /// Notices that keys have other owners, or that members have changed.
  void onSiteChanged();

  /// Returns the number of requests without an answer.
  std::size_t openRequests() const { return Open_.size(); }

private:
  struct Open;
  using OpenPtr = std::shared_ptr<Open>;

  void prepare(Open &Request);
  void attempt(const OpenPtr &Request);
  std::string ownerOf(const Open &Request) const;
  std::optional<std::string> hostFor(const Open &Request);
  void send(const OpenPtr &Request, const std::string &Host);
  void sendToPeer(const OpenPtr &Request, const FleetMember &Member);
  void onPeerResult(const OpenPtr &Request, std::uint32_t Attempt,
                    HttpResult Result);
  void askFate(const OpenPtr &Request, std::uint32_t Attempt);
  void onFate(const OpenPtr &Request, std::uint32_t Attempt, HttpResult Result);
  void onAnswer(const OpenPtr &Request, std::uint32_t Attempt,
                DoorAnswer Answer);
  void carryOut(const OpenPtr &Request, const PlanStep &Step);
  bool spendRetry(const std::string &Service);
  void endAttempt(Open &Request);
  static void noteAnswer(FleetMember &Member, const DoorAnswer &Answer,
                         Instant Now);
  void expire(const OpenPtr &Request);
  void onAbandoned(const OpenPtr &Request);
  void cancelAttempt(Open &Request);
  void refuse(const OpenPtr &Request, const std::string &Why,
              Duration RetryAfter);
  void fail(const OpenPtr &Request, unsigned Status, const std::string &Why);
  void reply(const OpenPtr &Request, HttpResponse Response, Outcome Known);
  std::string explain(const Open &Request, const std::string &Why) const;
  static HttpResponse ownAnswer(unsigned Status, const std::string &Why);

  IoLoop &Loop_;
  const Clock &Time_;
  SiteState &Site_;
  HttpClient &Peers_;
  UpstreamDoor &Door_;
  Metrics &Numbers_;
  HeaderNames Names_;
  SharedRetryBudgetOptions BudgetOptions_;
  RouterPlace Place_;
  Report Tell_;
  HostChoiceOptions Choice_;
  std::map<std::string, SharedRetryBudget> Budgets_;
  std::map<std::uint64_t, OpenPtr> Open_;
  std::uint64_t NextNumber_ = 0;
  std::mt19937_64 Random_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_REQUEST_ROUTER_H
