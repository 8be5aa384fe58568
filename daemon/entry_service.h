#ifndef LAGOONHITCH_DAEMON_ENTRY_SERVICE_H
#define LAGOONHITCH_DAEMON_ENTRY_SERVICE_H

/// \file
/// The entry's side of requests: from a caller to the owner and back.

#include "core/event_catalog.h"
#include "daemon/peer_clocks.h"
#include "daemon/serving_state.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "routing/entry_request.h"
#include "routing/upstream_choice.h"
#include "settings/daemon_settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;
class Metrics;
class OwnerService;

/// Settings of an EntryService.
struct EntryServiceOptions {
  EntryOptions Entry_;
  ChoiceOptions Choice_;
  std::uint32_t RetryPercent_ = 10;
  /// Longest time between the sending and the admission of an attempt.
  std::chrono::milliseconds StartWithin_{2000};
};

/// Takes callers' requests and carries out the decisions of
/// routing/entry_request.h. Serving thread only.
class EntryService {
public:
  /// \param Process the random number of this process.
  EntryService(IoLoop &Loop, const Clock &Time, const ServingState &Serving,
               const DaemonSettings &Settings, HttpClient &Peers,
               OwnerService &Owner, Metrics &Numbers,
               EntryServiceOptions Options, std::uint64_t Process,
               std::function<void(EventId, const std::string &)> Report);

  /// Handles a request from a caller.
  /// \param Internal whether it came in on the internal address.
  void handle(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange, bool Internal);

  /// Notices a new view.
  void onViewChanged();

private:
  struct Open;

  /// \returns the refusal of a request that can't be routed, or nullptr.
  AnswerPtr route(Open &Request, bool Internal) const;
  Targets targetsFor(const Open &Request);
  Targets ownersOf(const Open &Request) const;
  void perform(const std::shared_ptr<Open> &Request, const EntryAction &Action);
  void forward(const std::shared_ptr<Open> &Request);
  void forwardToPeer(const std::shared_ptr<Open> &Request,
                     const std::string &Peer);
  void sendToPeer(const std::shared_ptr<Open> &Request, const std::string &Peer,
                  const PeerStamp &Stamp);
  void onPeerResult(const std::shared_ptr<Open> &Request,
                    const std::string &Peer, std::uint32_t Attempt,
                    HttpResult Result);
  void lookUp(const std::shared_ptr<Open> &Request);
  void onLookUpResult(const std::shared_ptr<Open> &Request,
                      std::uint32_t Attempt, HttpResult Result);
  void noteAttemptEnd(Open &Request, AnswerKind Kind);
  void reply(const std::shared_ptr<Open> &Request, const AnswerPtr &Result);
  void abandon(const std::shared_ptr<Open> &Request);
  void notePeer(const std::string &Peer, const HttpResult &Result);
  std::string peerAddress(MemberId Id) const;

  IoLoop &Loop_;
  const Clock &Time_;
  const ServingState &Serving_;
  const DaemonSettings &Settings_;
  HttpClient &Peers_;
  OwnerService &Owner_;
  Metrics &Numbers_;
  EntryServiceOptions Options_;
  std::uint64_t Process_;
  std::function<void(EventId, const std::string &)> Report_;
  PeerClocks Clocks_;
  std::map<std::string, UpstreamCandidates> Candidates_;
  std::map<std::string, UpstreamLoads> Loads_;
  RetryBudget Budget_;
  std::uint64_t NextSequence_ = 0;
  std::uint64_t Seed_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_ENTRY_SERVICE_H
