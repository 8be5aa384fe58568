/// \file
/// What the components of a daemon do when others notify them.

#include "daemon/crash_record.h"
#include "daemon/daemon_impl.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace lagoonhitch {

namespace {

std::string describeLimit(const StatedRateLimit &Limit,
                          std::uint64_t SentRequests) {
  const std::string Stated =
      Limit.PerSecond_ ? absl::StrCat(*Limit.PerSecond_, " requests/s")
                       : "no limit";
  return absl::StrCat(Stated, ", ", SentRequests, " requests sent so far");
}

} // namespace

OwnershipCallbacks Daemon::Impl::ownershipCallbacks() {
  OwnershipCallbacks Callbacks;
  Callbacks.OnChanged_ = [this] {
    Gateway_.onKeysChanged();
    UpstreamManager_.onKeysChanged();
  };
  Callbacks.OnTableAppended_ = [this](const KeyTable &Table) {
    const KeyTable Before =
        std::exchange(Site_.Tables_[Settings_.Service_], Table);
    Router_.onSiteChanged();
    pushTable(Before, Table);
  };
  Callbacks.OnTableBehind_ = [this](Offset End) {
    Watcher_.hintTableEnd(Settings_.Service_, End);
  };
  Callbacks.LogEvent_ = [this](EventId Id, const std::string &Subject) {
    Recorder_.record(Id, Subject);
  };
  return Callbacks;
}

KeyHooks Daemon::Impl::keyHooks() {
  KeyHooks Hooks;
  Hooks.Serves_ = [this](KeyId Key) { return Ownership_.serves(Key); };
  Hooks.Owns_ = [this](KeyId Key) { return Ownership_.owns(Key); };
  Hooks.CountRequest_ = [this](KeyId Key) { Ownership_.countRequest(Key); };
  Hooks.RateBesideHotKey_ = [this](KeyId Key) {
    return Ownership_.rateBesideHotKey(Key);
  };
  return Hooks;
}

GatewayCallbacks Daemon::Impl::gatewayCallbacks() {
  GatewayCallbacks Callbacks;
  Callbacks.OnConnectionRefused_ = [this] {
    UpstreamManager_.onConnectionRefused();
  };
  Callbacks.QuarantineLeft_ = [this](const GatewayRequest &Request) {
    return quarantineLeft(Site_, Request, Names_, Time_.now());
  };
  Callbacks.OnLimitChanged_ = [this](const StatedRateLimit &Limit) {
    Recorder_.record(EventId::UpstreamLimitChanged,
                     describeLimit(Limit, Gateway_.sentRequests()));
  };
  Callbacks.OnLeaving_ = [this] { UpstreamManager_.onLeavingStated(); };
  Callbacks.OnRunsLost_ = [this] { UpstreamManager_.onRunsLost(); };
  Callbacks.OnRunCut_ = [this](const std::string &Request,
                               const std::string &Why) {
    Recorder_.recordRequest(EventId::RunCut, Request, Why);
  };
  return Callbacks;
}

SiteCallbacks Daemon::Impl::siteCallbacks() {
  SiteCallbacks Callbacks;
  Callbacks.OnManifest_ = [this] { onManifest(); };
  Callbacks.OnEvacuationsChanged_ = [this] {
    UpstreamManager_.onSiteChanged();
    announceOperatorRecords();
  };
  Callbacks.OnChanged_ = [this] { Router_.onSiteChanged(); };
  Callbacks.OnTable_ = [this](const std::string &Service,
                              const std::optional<KeyTable> &Table,
                              Offset End) {
    if (Service == Settings_.Service_)
      Ownership_.onTable(Table, End);
  };
  Callbacks.LogEvent_ = [this](EventId Id, const std::string &Subject) {
    Recorder_.record(Id, Subject);
  };
  return Callbacks;
}

} // namespace lagoonhitch
