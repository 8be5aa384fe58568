#include "membership/upstream_incarnation.h"

namespace lagoonhitch {

namespace {

bool isDifferentIncarnation(const UpstreamIncarnation &Incarnation,
                            const UpstreamHeartbeat &Heartbeat) {
  return Incarnation.LastHeartbeat_.Upstream_ != Heartbeat.Upstream_ ||
         Incarnation.LastHeartbeat_.StartMillis_ != Heartbeat.StartMillis_;
}

/// An older incarnation has an earlier start time. A heartbeat without a start
/// time never counts as older: another identifier is then a newer incarnation.
bool isOlderIncarnation(const UpstreamIncarnation &Incarnation,
                        const UpstreamHeartbeat &Heartbeat) {
  return Heartbeat.StartMillis_ != 0 &&
         Heartbeat.StartMillis_ < Incarnation.LastHeartbeat_.StartMillis_;
}

} // namespace

HeartbeatResult applyHeartbeat(std::optional<UpstreamIncarnation> &Incarnation,
                               const UpstreamHeartbeat &Heartbeat,
                               const std::string &Service,
                               const std::string &Address, Instant Now) {
  if (Heartbeat.Service_ != Service || Heartbeat.Address_ != Address)
    return HeartbeatResult::Mismatched;
  if (Incarnation && isOlderIncarnation(*Incarnation, Heartbeat))
    return HeartbeatResult::Stale;
  if (!Incarnation || isDifferentIncarnation(*Incarnation, Heartbeat)) {
    Incarnation = UpstreamIncarnation();
    Incarnation->LastHeartbeat_ = Heartbeat;
    Incarnation->LastHeartbeatAt_ = Now;
    Incarnation->Draining_ = Heartbeat.Draining_;
    return HeartbeatResult::Accepted;
  }
  if (Heartbeat.Sequence_ <= Incarnation->LastHeartbeat_.Sequence_)
    return HeartbeatResult::Stale;
  Incarnation->LastHeartbeat_ = Heartbeat;
  Incarnation->LastHeartbeatAt_ = Now;
  Incarnation->Unresponsive_ = false;
  Incarnation->RefusedConnection_ = false;
  Incarnation->Terminated_ = false;
  Incarnation->Draining_ = Incarnation->Draining_ || Heartbeat.Draining_;
  return HeartbeatResult::Accepted;
}

bool applyDeregistration(std::optional<UpstreamIncarnation> &Incarnation,
                         const std::string &Upstream) {
  if (!Incarnation || Incarnation->LastHeartbeat_.Upstream_ != Upstream)
    return false;
  Incarnation->Draining_ = true;
  return true;
}

bool wasDeregistered(const std::optional<EarlyDeregistration> &Deregistration,
                     const UpstreamHeartbeat &Heartbeat) {
  return Deregistration && Deregistration->Upstream_ == Heartbeat.Upstream_ &&
         Heartbeat.StartMillis_ <= Deregistration->ReceivedAt_.count();
}

LocalUpstream
localUpstream(const std::optional<UpstreamIncarnation> &Incarnation) {
  LocalUpstream Local;
  if (!Incarnation)
    return Local;
  Local.Id_ = Incarnation->LastHeartbeat_.Upstream_;
  Local.StartMillis_ = Incarnation->LastHeartbeat_.StartMillis_;
  Local.Terminated_ = Incarnation->Terminated_;
  if (isLost(Incarnation))
    Local.State_ = LocalUpstream::State::Lost;
  else if (Incarnation->Draining_)
    Local.State_ = LocalUpstream::State::Draining;
  else
    Local.State_ = LocalUpstream::State::Serving;
  return Local;
}

bool isLost(const std::optional<UpstreamIncarnation> &Incarnation) {
  return Incarnation &&
         (Incarnation->RefusedConnection_ || Incarnation->Unresponsive_);
}

bool acceptsRequests(const std::optional<UpstreamIncarnation> &Incarnation) {
  return Incarnation && !Incarnation->Draining_ && !isLost(Incarnation);
}

} // namespace lagoonhitch
