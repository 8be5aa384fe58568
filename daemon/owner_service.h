#ifndef LAGOONHITCH_DAEMON_OWNER_SERVICE_H
#define LAGOONHITCH_DAEMON_OWNER_SERVICE_H

/// \file
/// The owner's side of requests: fences, deduplicates, admits, runs.

#include "core/event_catalog.h"
#include "daemon/forwarded_request.h"
#include "daemon/owner_options.h"
#include "daemon/serving_state.h"
#include "limits/admission.h"
#include "membership/upstream_registry.h"
#include "net/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonhitch {

class IoLoop;

/// What an OwnerService reports to other parts of the daemon.
struct OwnerReports {
  /// Nothing runs any more for a shard that is being released.
  std::function<void(const ShardRef &)> Drained_;
  /// The upstreams' slots have changed.
  std::function<void(const std::map<std::string, std::uint32_t> &)> Slots_;
  /// A log event about an upstream.
  std::function<void(EventId, const std::string &Service)> Event_;
};

/// Runs requests on the upstreams beside this daemon. Serving thread only.
class OwnerService {
public:
  using Done = std::function<void(AnswerPtr)>;

  OwnerService(IoLoop &Loop, const Clock &Time, const ServingState &Serving,
               HttpClient &Upstreams, OwnerOptions Options,
               OwnerReports Reports);

  /// Runs a request, or refuses it; the callback is called once.
  void serve(ForwardedRequest Request, Done Callback);

  /// Tells what became of an attempt.
  FateReport lookUp(const RequestId &Id, Instant StartBy);

  /// Stops an attempt whose caller has left: a waiting one does not run, a
  /// running one is cancelled if it may be repeated.
  void cancel(const RequestId &Id);

  /// Takes an announcement of an upstream beside this daemon.
  void announceUpstream(const UpstreamInfo &Info);

  /// Notices upstreams that have gone silent, and drops hopeless requests.
  void tick();

  /// Notices a new view: releases shards and dates the shards gained.
  void onViewChanged();

  /// Returns the number of requests that wait or run.
  std::size_t openRequests() const { return Requests_.size(); }

  /// Returns the state of the upstreams' limits by service.
  const std::map<std::string, Admission> &admissions() const {
    return Admissions_;
  }

private:
  struct Open {
    ForwardedRequest Forward_;
    Done Callback_;
    std::string DedupKey_;
    bool Running_ = false;
    Instant StartedAt_;
    std::shared_ptr<void> Call_;
  };
  struct Dated {
    Token Token_ = 0;
    ShardHistory History_;
  };

  bool isFenced(const ForwardedRequest &Forward) const;
  bool handleDuplicate(const ForwardedRequest &Forward, Done &Callback,
                       std::string &DedupKey);
  void admitRequest(ForwardedRequest Forward, Done Callback,
                    std::string DedupKey);
  void start(Ticket Id);
  HttpRequest makeUpstreamRequest(const Open &Request, Instant Limit) const;
  void onUpstreamResult(Ticket Id, HttpResult Result);
  void finish(Ticket Id, AnswerPtr Result);
  void finishWaiters(const std::string &DedupKey, const AnswerPtr &Result);
  void advance(const std::string &Service);
  void reportDrained();
  ShardHistory historyOf(const ForwardedRequest &Forward) const;

  IoLoop &Loop_;
  const Clock &Time_;
  const ServingState &Serving_;
  HttpClient &Upstreams_;
  OwnerOptions Options_;
  OwnerReports Reports_;
  UpstreamRegistry Registry_;
  std::map<std::string, Admission> Admissions_;
  FateTable Fates_;
  DedupWindow Dedup_;
  std::unordered_map<std::string,
                     std::vector<std::pair<ForwardedRequest, Done>>>
      DedupWaiters_;
  std::map<Ticket, Open> Requests_;
  Ticket NextTicket_ = 0;
  std::map<ShardKey, std::uint32_t> RunningByShard_;
  std::map<ShardKey, Token> ReportedDrained_;
  std::map<ShardKey, Dated> Owned_;
  std::map<std::string, std::uint32_t> ReportedSlots_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_OWNER_SERVICE_H
