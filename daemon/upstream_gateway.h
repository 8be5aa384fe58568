#ifndef LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H
#define LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H

/// \file
/// The only way to the upstream beside a daemon.

#include "core/clock.h"
#include "daemon/gateway_request.h"
#include "daemon/gateway_result.h"
#include "limits/admission_queue.h"
#include "net/header_names.h"
#include "net/http_result.h"
#include "recovery/attempt_table.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lagoonhitch {

class HttpClient;
class IoLoop;

/// What a door needs to know of the keys.
struct KeyHooks {
  /// Whether the upstream surely holds a key.
  std::function<bool(KeyId)> Serves_;
  /// Whether the key is about to be held, or about to be another host's.
  std::function<bool(KeyId)> Owns_;
  /// Counts a request for a key.
  std::function<void(KeyId)> CountRequest_;
};

/// What a door tells other parts.
struct GatewayCallbacks {
  /// The upstream's address refuses connections.
  std::function<void()> OnConnectionRefused_;
};

/// Admits requests to the upstream beside this daemon. Serving thread only.
class UpstreamGateway {
public:
  using ResultCallback = std::function<void(GatewayResult)>;

  UpstreamGateway(IoLoop &Loop, const Clock &Time, HttpClient &UpstreamClient,
                  HeaderNames Names, std::string Service, std::string Address,
                  KeyHooks Hooks, GatewayCallbacks Callbacks);

  /// Runs a request, or refuses it; the callback is called once unless the
  /// request is cancelled before.
  void serve(GatewayRequest Request, ResultCallback Callback);

  /// Gives a request up whose caller has left.
  /// \returns whether it provably has not run and never will.
  bool cancel(const RequestId &Id);

  /// Tells what became of an attempt that was not idempotent.
  AttemptInfo lookUpStatus(const RequestId &Id, Duration StartWithin);

  /// Starts over with another life of the upstream.
  void resetForIncarnation(const std::string &Upstream, std::uint32_t Slots);

  /// Lets requests in, or refuses new and waiting ones.
  void setAccepting(bool Accepting);

  /// Notes that the upstream is cold for a span; zero for no more.
  void setCold(Duration For, double PerSecond);

  /// Notices that the upstream holds other keys.
  void onKeysChanged();

  /// Drops what can't be answered in time, starts what there is room for.
  void tick();

  bool isAccepting() const { return Accepting_; }
  std::size_t openRequests() const { return Requests_.size(); }
  const AdmissionQueue &queue() const { return Queue_; }

  /// Returns the upstream's load, as other hosts choose by it.
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
    Instant Since_;
    std::shared_ptr<void> Call_;
  };

  void admit(std::uint64_t Number);
  void awaitKey(std::uint64_t Number);
  void start(std::uint64_t Number);
  void dispatchQueued();
  HttpRequest makeUpstreamRequest(const OpenRequest &Entry) const;
  void onUpstreamResult(std::uint64_t Number, HttpResult CallResult);
  GatewayResult classify(const OpenRequest &Entry, HttpResult CallResult);
  void reject(std::uint64_t Number, RejectReason Reason, Duration RetryAfter);
  void complete(std::uint64_t Number, GatewayResult Result);
  void recordUpstreamLoad(const HttpResponse &Response);

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
  std::uint64_t LastNumber_ = 0;
  std::shared_ptr<void> ColdTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H
