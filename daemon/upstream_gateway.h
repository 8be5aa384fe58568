#ifndef LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H
#define LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H

/// \file
/// The gateway to the local upstream: the one on the daemon's host. All
/// requests to that upstream pass through it.

#include "core/clock.h"
#include "daemon/gateway_request.h"
#include "daemon/gateway_result.h"
#include "limits/admission_queue.h"
#include "limits/stated_rate_limit.h"
#include "net/header_names.h"
#include "net/http_result.h"
#include "recovery/answered_requests.h"
#include "recovery/attempt_table.h"
#include "recovery/lost_runs.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

class HttpClient;
class IoLoop;
struct UpstreamNotice;

/// Queries and notifications about keys, as an UpstreamGateway needs them.
struct KeyHooks {
  /// Returns whether the local upstream is guaranteed to hold a key.
  std::function<bool(KeyId)> Serves_;
  /// Returns whether the key table names this host as a key's owner. Its
  /// upstream may not hold the key yet, or not any more.
  std::function<bool(KeyId)> Owns_;
  /// Counts a request for a key.
  std::function<void(KeyId)> CountRequest_;
  /// Returns the requests per second for other keys if a key is hot;
  /// std::nullopt if it is not.
  std::function<std::optional<double>(KeyId)> RateBesideHotKey_{};
};

/// Notifications from an UpstreamGateway.
struct GatewayCallbacks {
  /// Called when the upstream's address refuses a connection that was opened
  /// while the current incarnation was known.
  std::function<void()> OnConnectionRefused_;
  /// Returns how long a request must not be sent to the upstream; std::nullopt
  /// if it may be sent.
  std::function<std::optional<Duration>(const GatewayRequest &)>
      QuarantineLeft_;
  /// Called when the upstream states another limit of its request rate.
  std::function<void(const StatedRateLimit &)> OnLimitChanged_;
  /// Called when a response states that the upstream is about to terminate.
  std::function<void()> OnLeaving_;
  /// Called soon after requests have been lost with their connections.
  std::function<void()> OnRunsLost_;
  /// Called when a request that was sent to the upstream ends without its
  /// response.
  /// \param Request the caller's ID of the request.
  std::function<void(const std::string &Request, const std::string &Why)>
      OnRunCut_{};
};

/// Admits requests to the local upstream: forwards them while it has capacity,
/// queues them, or rejects them. Serving thread only.
class UpstreamGateway {
public:
  /// Receives the result of a request.
  using ResultCallback = std::function<void(GatewayResult)>;

  /// \param UpstreamClient the client for calls to the upstream.
  /// \param Names the names of the headers used by upstreams.
  /// \param Service the service of the upstream.
  /// \param Address the upstream's `ip:port`.
  UpstreamGateway(IoLoop &Loop, const Clock &Time, HttpClient &UpstreamClient,
                  HeaderNames Names, std::string Service, std::string Address,
                  KeyHooks Hooks, GatewayCallbacks Callbacks);

  /// Forwards a request to the upstream, at once or from the queue, or rejects
  /// it. The callback is called exactly once, possibly before this returns,
  /// unless the request is cancelled first.
  void serve(GatewayRequest Request, ResultCallback Callback);

  /// Cancels a request whose caller is gone. A running request that is not
  /// idempotent runs on, and its result is recorded.
  /// \param Cause why it is cancelled, for the log.
  /// \returns whether the request is guaranteed never to be executed.
  bool cancel(const RequestId &Id, const char *Cause);

  /// As cancel(), but the callback is called with the result, so that the
  /// exchange of a connection that is still open here ends.
  bool cancelAndRespond(const RequestId &Id, const char *Cause);

  /// Handles that the connection over which a request came has broken. An
  /// idempotent one that runs is cancelled some time later, unless its entry
  /// daemon looks up its status. Others are treated as by cancel().
  void onConnectionBroken(const RequestId &Id);

  /// Returns the status of an attempt that runs or is recorded; std::nullopt
  /// for any other.
  std::optional<AttemptInfo> findStatus(const RequestId &Id) const;

  /// Returns the status of an attempt. One that is not idempotent and has not
  /// been received yet is rejected from now on.
  /// \param StartWithin how long the attempt may still be admitted.
  AttemptInfo lookUpStatus(const RequestId &Id, Duration StartWithin);

  /// Resets the queue's load state for another incarnation of the upstream.
  /// \param Upstream the incarnation's ID.
  /// \param Slots the number of requests that it handles concurrently.
  void resetForIncarnation(const std::string &Upstream, std::uint32_t Slots);

  /// Starts or stops accepting requests. On a stop, requests that are not
  /// running yet are rejected.
  void setAccepting(bool Accepting);

  /// Limits the request rate while the upstream is cold.
  /// \param For remaining cold time; zero or less ends the limit.
  /// \param PerSecond requests per second until then.
  void setCold(Duration For, double PerSecond);

  /// Returns the requests that the upstream may have been running when it
  /// crashed, and forgets them. To be called when it is known to have crashed.
  std::vector<LostRun> takeLostRuns();

  /// Counts a health check of the upstream against its rate limits.
  void chargeHealthCheck();

  /// Applies what the upstream states about itself in a response.
  /// \param SentAt when the request was sent.
  void onNotice(const UpstreamNotice &Notice, Instant SentAt);

  /// Admits or rejects requests that wait for a key. To be called after the
  /// upstream's keys have changed.
  void onKeysChanged();

  /// Rejects queued requests whose deadline cannot be met any more, starts
  /// others while there is capacity, and cancels those whose connection broke
  /// and whose entry daemon does not look them up. To be called periodically.
  void tick();

  /// Returns whether requests are accepted.
  bool isAccepting() const { return Accepting_; }
  /// Returns the number of requests that have no result yet.
  std::size_t openRequests() const { return Requests_.size(); }
  /// Returns the admission queue.
  const AdmissionQueue &queue() const { return Queue_; }
  /// Returns the limit that the upstream states.
  const StatedRateLimit &statedRateLimit() const { return StatedRateLimit_; }
  /// Returns the number of requests sent to the upstream since the start.
  std::uint64_t sentRequests() const { return SentRequests_; }

  /// Returns the upstream's load, by which other hosts select an upstream.
  LoadReport load() const;

private:
  struct OpenRequest {
    GatewayRequest Request_;
    QueuedRequest QueuedRequest_;
    ResultCallback Callback_;
    enum class Phase {
      AwaitingKey,
      Queued,
      Running
    } Phase_ = Phase::AwaitingKey;
    /// When the request arrived or, once running, was sent to the upstream.
    Instant Since_;
    /// When to cancel the request, whose connection has broken; std::nullopt if
    /// it has not.
    std::optional<Instant> CancelAt_;
    /// The upstream's incarnation that it was sent to.
    std::uint64_t Incarnation_ = 0;
    std::shared_ptr<void> Call_;
  };

  void admit(std::uint64_t Number);
  void awaitKey(std::uint64_t Number);
  bool rejectIfKeyExceedsShare(std::uint64_t Number);
  bool rejectIfQuarantined(std::uint64_t Number);
  void start(std::uint64_t Number);
  void dispatchQueued();
  void startQueued(const QueuedRequest &Request);
  HttpRequest makeUpstreamRequest(const OpenRequest &Entry) const;
  void onUpstreamResult(std::uint64_t Number, HttpResult CallResult);
  void reportCutRun(const OpenRequest &Entry, const char *Cause) const;
  void recordLostRun(const OpenRequest &Entry);
  GatewayResult classify(const OpenRequest &Entry, HttpResult CallResult);
  void reject(std::uint64_t Number, RejectReason Reason, Duration RetryAfter);
  void complete(std::uint64_t Number, GatewayResult Result);
  void cancelUnwanted();

  IoLoop &Loop_;
  const Clock &Time_;
  HttpClient &UpstreamClient_;
  HeaderNames Names_;
  std::string Service_;
  std::string Address_;
  KeyHooks KeyHooks_;
  GatewayCallbacks Callbacks_;
  std::string UpstreamId_;
  bool Accepting_ = false;
  AdmissionQueue Queue_;
  AttemptTable Attempts_;
  AttemptTableOptions AttemptTableOptions_;
  std::map<std::uint64_t, OpenRequest> Requests_;
  std::map<RequestId, std::uint64_t> NumbersById_;
  /// The running requests whose connection has broken.
  std::set<RequestId> Disconnected_;
  std::uint64_t LastNumber_ = 0;
  std::shared_ptr<void> RateLimitTimer_;
  StatedRateLimit StatedRateLimit_;
  LostRuns LostRuns_;
  std::shared_ptr<void> LostRunsTimer_;
  AnsweredRequests AnsweredRequests_;
  /// When the upstream's current incarnation was first known. Responses to
  /// earlier requests may be of another incarnation.
  Instant IncarnationSince_ = Instant::min();
  /// Number of the current incarnation, counted since the start.
  std::uint64_t Incarnation_ = 0;
  std::uint64_t SentRequests_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H
