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
struct DoorKeys {
  /// Whether the upstream surely holds a key.
  std::function<bool(KeyId)> Serves_;
  /// Whether the key is about to be held, or about to be another host's.
  std::function<bool(KeyId)> Settles_;
  /// Counts a request for a key.
  std::function<void(KeyId)> Count_;
};

/// What a door tells other parts.
struct DoorReports {
  /// The upstream's address refuses connections.
  std::function<void()> Refused_;
};

/// Admits requests to the upstream beside this daemon. Serving thread only.
class UpstreamDoor {
public:
  using Done = std::function<void(DoorAnswer)>;

  UpstreamDoor(IoLoop &Loop, const Clock &Time, HttpClient &Upstreams,
               HeaderNames Names, std::string Service, std::string Address,
               DoorKeys Keys, DoorReports Reports);

  /// Runs a request, or refuses it; the callback is called once unless the
  /// request is cancelled before.
  void serve(DoorRequest Request, Done Callback);

  /// Gives a request up whose caller has left.
  /// \returns whether it provably has not run and never will.
  bool cancel(const RequestId &Id);

  /// Tells what became of an attempt that was not idempotent.
  AttemptInfo lookUp(const RequestId &Id, Duration StartWithin);

  /// Starts over with another life of the upstream.
  void openFor(const std::string &Upstream, std::uint32_t Slots);

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
  struct Open {
    DoorRequest Request_;
    QueuedRequest Ticket_;
    Done Callback_;
    enum class Phase { Parked, Waiting, Running } Phase_ = Phase::Parked;
    Instant Since_;
    std::shared_ptr<void> Call_;
  };

  void offerOpen(std::uint64_t Number);
  void park(std::uint64_t Number);
  void start(std::uint64_t Number);
  void pump();
  HttpRequest upstreamRequest(const Open &Entry) const;
  void onResult(std::uint64_t Number, HttpResult Result);
  DoorAnswer classify(const Open &Entry, HttpResult Result);
  void refuse(std::uint64_t Number, RejectReason Reason, Duration RetryAfter);
  void conclude(std::uint64_t Number, DoorAnswer Answer);
  void noteLoad(const HttpResponse &Response);

  IoLoop &Loop_;
  const Clock &Time_;
  HttpClient &Upstreams_;
  HeaderNames Names_;
  std::string Service_;
  std::string Address_;
  DoorKeys Keys_;
  DoorReports Reports_;
  std::string Upstream_;
  bool Accepting_ = false;
  AdmissionQueue Queue_;
  AttemptTable Fates_;
  AttemptTableOptions FateOptions_;
  std::map<std::uint64_t, Open> Requests_;
  std::map<RequestId, std::uint64_t> Numbers_;
  std::uint64_t NextNumber_ = 0;
  std::shared_ptr<void> ColdTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_GATEWAY_H
