#include "daemon/daemon_options.h"

#include "daemon/forward_codec.h"
#include "net/request_rejection.h"
#include "settings/daemon_settings.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::size_t MaxForwardedBodyBytes = 64U * 1024U * 1024U;
constexpr std::size_t MaxResponseBytes = 8U * 1024U * 1024U;
/// Limit of all responses that a client is receiving. Hosts have as little as
/// 160 MB.
constexpr std::size_t MaxReceivingBytes = 24U * 1024U * 1024U;
/// Part of the memory budget for small messages only.
constexpr std::size_t SmallMessageReserve = 8U * 1024U * 1024U;
/// What other messages may use while the largest body is received.
constexpr std::size_t LargestBodySlack = 8U * 1024U * 1024U;
/// Larger than the usual limits for callers and upstreams: forwarded requests
/// and their responses have additional headers.
constexpr std::size_t MaxPeerHeaderBytes = 128U * 1024U;
/// Maximum size of the headers that a daemon adds to a request.
constexpr std::size_t MaxAddedHeaderBytes = 8U * 1024U;

} // namespace

HttpClientOptions clientOptions(std::chrono::milliseconds MaxIdleTime,
                                std::chrono::milliseconds ConnectTimeout) {
  HttpClientOptions Options;
  Options.MaxIdleTime_ = MaxIdleTime;
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.MaxBodyBytes_ = MaxResponseBytes;
  Options.MaxReceivingBytes_ = MaxReceivingBytes;
  return Options;
}

HttpClientOptions peerClientOptions() {
  HttpClientOptions Options = clientOptions(std::chrono::milliseconds(8000),
                                            std::chrono::milliseconds(250));
  Options.MaxHeaderBytes_ = MaxPeerHeaderBytes;
  return Options;
}

MemoryBudgetOptions budgetOptions(std::size_t MemoryMegabytes,
                                  std::size_t MaxBodyBytes) {
  constexpr std::size_t Megabyte = std::size_t{1024} * 1024;
  // Besides, up to 48 MB of responses are being received, and a daemon needs
  // about 15 MB for itself and its connections.
  MemoryBudgetOptions Options;
  Options.SmallReserve_ = SmallMessageReserve;
  Options.MaxBytes_ =
      std::max(MemoryMegabytes * Megabyte / 2,
               MaxBodyBytes + SmallMessageReserve + LargestBodySlack);
  return Options;
}

std::size_t maxCallerConnections(std::size_t MaxDescriptors) {
  return MaxDescriptors / 4 * 3;
}

HttpServerOptions serverOptions(const std::string &Address) {
  HttpServerOptions Options;
  Options.Address_ = Address;
  return Options;
}

HttpServerOptions peerServerOptions(const std::string &Address) {
  HttpServerOptions Options = serverOptions(Address);
  Options.MaxHeaderBytes_ = MaxPeerHeaderBytes;
  Options.MaxBodyBytes_ = MaxForwardedBodyBytes;
  Options.NoMemoryHeaders_ = {noMemoryHeader()};
  return Options;
}

HttpServerOptions peerServerOptions(const std::string &Address,
                                    const CallerLimits &Limits) {
  HttpServerOptions Options = peerServerOptions(Address);
  Options.MaxHeaderBytes_ = std::max(
      Options.MaxHeaderBytes_, Limits.MaxHeaderBytes_ + MaxAddedHeaderBytes);
  Options.MaxBodyBytes_ = std::max(Options.MaxBodyBytes_, Limits.MaxBodyBytes_);
  return Options;
}

HttpServerOptions callerServerOptions(const DaemonSettings &Settings,
                                      const std::string &Address) {
  HttpServerOptions Options = serverOptions(Address);
  Options.MaxBodyBytes_ = Settings.MaxBodyBytes_;
  Options.MaxConnections_ = maxCallerConnections(Settings.MaxDescriptors_);
  return Options;
}

SharedRetryBudgetOptions retryBudgetOptions(const SiteBounds &Bounds) {
  SharedRetryBudgetOptions Options;
  Options.Ratio_ = Bounds.RetryRatio_;
  Options.Slack_ = Bounds.RetrySlack_;
  Options.Window_ = Bounds.RetryWindow_;
  return Options;
}

KeyOwnershipOptions ownershipOptions(const DaemonSettings &Settings) {
  KeyOwnershipOptions Options;
  Options.Lease_ = Settings.Lease_;
  Options.RenewInterval_ = Settings.RenewInterval_;
  Options.Hold_ = std::min(Settings.Hold_, Settings.Bounds_.MaxHold_);
  Options.DeclaredHold_ =
      std::min(Options.DeclaredHold_, Settings.Bounds_.MaxHold_);
  Options.SuspectAfter_ = Settings.SuspectAfter_;
  Options.FirstStart_ = Settings.FirstStart_;
  return Options;
}

Manifest manifestFromSettings(const DaemonSettings &Settings) {
  Manifest Result;
  Result.Version_ = 1;
  Result.Limits_.MaxBodyBytes_ = Settings.MaxBodyBytes_;
  for (const ServiceSettings &Service : Settings.Services_) {
    ServiceSpec Spec;
    Spec.Name_ = Service.Name_;
    Spec.Sharded_ = Service.Sharded_;
    Spec.GrantMethod_ = Service.GrantMethod_;
    Result.Services_[Spec.Name_] = Spec;
  }
  return Result;
}

} // namespace lagoonhitch
