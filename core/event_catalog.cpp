#include "core/event_catalog.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr EventInfo Catalog[] = {
    {EventId::DaemonStarted, EventLevel::Info, "daemon-started"},
    {EventId::DaemonStopping, EventLevel::Info, "daemon-stopping"},
    {EventId::DaemonStopped, EventLevel::Info, "daemon-stopped"},
    {EventId::SettingsRejected, EventLevel::Error, "settings-rejected"},
    {EventId::SettingsReloaded, EventLevel::Info, "settings-reloaded"},
    {EventId::Joined, EventLevel::Info, "joined"},
    {EventId::LeaseAcquired, EventLevel::Info, "lease-acquired"},
    {EventId::LeaseLapsed, EventLevel::Warn, "lease-lapsed"},
    {EventId::TakeoverStarted, EventLevel::Warn, "takeover-started"},
    {EventId::TakeoverServing, EventLevel::Warn, "takeover-serving"},
    {EventId::TableChanged, EventLevel::Info, "table-changed"},
    {EventId::ReleaseStarted, EventLevel::Info, "release-started"},
    {EventId::Removed, EventLevel::Warn, "removed"},
    {EventId::LogUnavailable, EventLevel::Warn, "log-unavailable"},
    {EventId::LogRestored, EventLevel::Info, "log-restored"},
    {EventId::LogGap, EventLevel::Warn, "log-gap"},
    {EventId::StoreEraChanged, EventLevel::Warn, "store-era-changed"},
    {EventId::ConfigApplied, EventLevel::Info, "config-applied"},
    {EventId::ConfigReceived, EventLevel::Info, "config-received"},
    {EventId::ConfigUnreadable, EventLevel::Error, "config-unreadable"},
    {EventId::EvacuationChanged, EventLevel::Info, "evacuation-changed"},
    {EventId::RecordUnreadable, EventLevel::Warn, "record-unreadable"},
    {EventId::UpstreamAnnounced, EventLevel::Info, "upstream-announced"},
    {EventId::UpstreamLost, EventLevel::Warn, "upstream-lost"},
    {EventId::UpstreamRestarted, EventLevel::Warn, "upstream-restarted"},
    {EventId::UpstreamDraining, EventLevel::Info, "upstream-draining"},
    {EventId::UpstreamCold, EventLevel::Warn, "upstream-cold"},
    {EventId::UpstreamLimitChanged, EventLevel::Warn, "upstream-limit-changed"},
    {EventId::UpstreamLeaving, EventLevel::Info, "upstream-leaving"},
    {EventId::RequestLostInCrash, EventLevel::Warn, "request-lost-in-crash"},
    {EventId::RequestQuarantined, EventLevel::Error, "request-quarantined"},
    {EventId::UpstreamAvoided, EventLevel::Warn, "upstream-avoided"},
    {EventId::LinkSettled, EventLevel::Warn, "link-settled"},
    {EventId::RingFull, EventLevel::Error, "ring-full"},
    {EventId::LateTick, EventLevel::Warn, "late-tick"},
    {EventId::HandlerFailed, EventLevel::Error, "handler-failed"},
    {EventId::MemoryScarce, EventLevel::Warn, "memory-scarce"},
    {EventId::RequestRefused, EventLevel::Info, "request-refused"},
    {EventId::RequestFailed, EventLevel::Warn, "request-failed"},
    {EventId::RunCut, EventLevel::Warn, "run-cut"},
    {EventId::CallerLeft, EventLevel::Info, "caller-left"},
    {EventId::RunLostByCall, EventLevel::Warn, "run-lost-by-call"},
    {EventId::ConnectionCut, EventLevel::Warn, "connection-cut"},
};

} // namespace

std::span<const EventInfo> eventCatalog() { return Catalog; }

const EventInfo &eventInfo(EventId Id) {
  const EventInfo *Found =
      std::find_if(std::begin(Catalog), std::end(Catalog),
                   [Id](const EventInfo &Row) { return Row.Id_ == Id; });
  return *Found;
}

bool isAuditEvent(EventId Id) {
  switch (Id) {
  case EventId::SettingsReloaded:
  case EventId::TakeoverStarted:
  case EventId::TableChanged:
  case EventId::ReleaseStarted:
  case EventId::ConfigApplied:
  case EventId::EvacuationChanged:
  case EventId::UpstreamAnnounced:
  case EventId::UpstreamLost:
  case EventId::UpstreamDraining:
  case EventId::UpstreamLeaving:
  case EventId::RequestQuarantined:
    return true;
  default:
    return false;
  }
}

} // namespace lagoonhitch
