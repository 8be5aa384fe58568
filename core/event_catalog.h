#ifndef LAGOONHITCH_CORE_EVENT_CATALOG_H
#define LAGOONHITCH_CORE_EVENT_CATALOG_H

/// \file
/// The numbered log events. docs/EVENTS.md explains each to operators.

#include <cstdint>
#include <span>

namespace lagoonhitch {

/// The severity of a log event.
enum class EventLevel { Info, Warn, Error };

/// The number of a log event, named as in the catalogue. Numbers are never
/// reused for another event.
enum class EventId : std::uint32_t {
  DaemonStarted = 100,
  DaemonStopping = 101,
  DaemonStopped = 102,
  SettingsRejected = 110,
  SettingsReloaded = 111,
  Joined = 200,
  LeaseAcquired = 201,
  LeaseLapsed = 202,
  TakeoverStarted = 203,
  TakeoverServing = 204,
  TableChanged = 205,
  ReleaseStarted = 206,
  Removed = 207,
  LogUnavailable = 300,
  LogRestored = 301,
  LogGap = 302,
  StoreEraChanged = 303,
  UpstreamAnnounced = 400,
  UpstreamLost = 401,
  UpstreamRestarted = 402,
  UpstreamDraining = 403,
  UpstreamCold = 404,
  UpstreamLimitChanged = 405,
  UpstreamLeaving = 406,
  RequestLostInCrash = 407,
  RequestQuarantined = 408,
  UpstreamAvoided = 409,
  ConfigApplied = 310,
  ConfigUnreadable = 311,
  EvacuationChanged = 312,
  RecordUnreadable = 313,
  ConfigReceived = 314,
  LinkSettled = 500,
  RingFull = 600,
  LateTick = 601,
  HandlerFailed = 602,
  MemoryScarce = 603,
  RequestRefused = 700,
  RequestFailed = 701,
  RunCut = 702,
  CallerLeft = 703,
  RunLostByCall = 704,
  ConnectionCut = 705,
};

/// One entry of the catalogue.
struct EventInfo {
  EventId Id_;
  EventLevel Level_;
  const char *Name_;
};

/// Returns all events, sorted by number.
std::span<const EventInfo> eventCatalog();

/// Returns the catalogue entry of an event.
const EventInfo &eventInfo(EventId Id);

/// Returns whether an event is recorded in the audit trail, as a change of
/// configuration, ownership or upstream state.
bool isAuditEvent(EventId Id);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_EVENT_CATALOG_H
