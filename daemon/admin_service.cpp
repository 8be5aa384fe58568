#include "daemon/admin_service.h"

#include "core/received_json.h"

#include "daemon/ownership_manager.h"
#include "daemon/upstream_gateway.h"
#include "observe/audit_trail.h"
#include "observe/metrics.h"
#include "ownership/shard_hash.h"
#include "platform/store_client.h"
#include "settings/daemon_settings.h"
#include "settings/rule_match.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

HttpResponse jsonResponse(unsigned Status, const Json &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = dumpReplacingInvalid(Body);
  return Response;
}

HttpResponse errorResponse(unsigned Status, const std::string &Message,
                           const std::string &Remedy) {
  return jsonResponse(
      Status, {{"kind", "refused"}, {"message", Message}, {"remedy", Remedy}});
}

/// Returns the value of a query parameter without percent-decoding it; empty if
/// it is missing.
std::string queryParameter(const std::string &Target, const std::string &Name) {
  ServiceSettings Reader;
  Reader.KeySource_ = KeySource::Query;
  Reader.KeyName_ = Name;
  return keyFromTarget(Reader, Target).value_or("");
}

Json describeMember(const FleetMember &Member, Instant Now) {
  const bool Contacted = Member.LastDigestAt_ != Instant::min();
  return {{"host", Member.Record_.Host_},
          {"zone", Member.Record_.Zone_},
          {"service", Member.Record_.Service_},
          {"upstream", Member.Record_.Upstream_},
          {"state", upstreamStateName(Member.Record_.State_)},
          {"heard_ms_ago",
           Contacted ? toMillis(Now - Member.LastDigestAt_).count() : -1},
          {"accepts", Member.Digest_.Accepting_},
          {"running", Member.Digest_.Running_},
          {"queued", Member.Digest_.Queued_},
          {"slots", Member.Digest_.Slots_},
          {"work_ms", Member.Digest_.ProcessingMillis_}};
}

Json describeTable(const KeyTable &Table) {
  Json Rows = Json::array();
  for (const KeyRow &Row : Table.Rows_)
    Rows.push_back({{"first", Row.Range_.First_},
                    {"last", Row.Range_.Last_},
                    {"host", Row.Owner_.Host_},
                    {"upstream", Row.Owner_.Upstream_},
                    {"epoch", Row.Owner_.Epoch_},
                    {"fence", Row.Fence_}});
  return {{"offset", Table.Offset_ ? Json(*Table.Offset_) : Json()},
          {"rows", Rows}};
}

Json describeHolds(const KeyOwnershipState &State, Instant Now) {
  Json Holds = Json::array();
  for (const auto &[First, Keys] : State.HeldKeys_)
    Holds.push_back(
        {{"first", Keys.Row_.Range_.First_},
         {"last", Keys.Row_.Range_.Last_},
         {"fence", Keys.Row_.Fence_},
         {"granted", Keys.Granted_},
         {"left_ms", Keys.Granted_ && Keys.GuaranteedUntil_ > Now
                         ? toMillis(Keys.GuaranteedUntil_ - Now).count()
                         : 0}});
  return Holds;
}

std::int64_t remainingLeaseMillis(const KeyOwnershipState &State, Instant Now) {
  const bool Valid = State.EpochAcknowledged_ && State.LeaseUntil_ > Now;
  return Valid ? toMillis(State.LeaseUntil_ - Now).count() : 0;
}

/// Lists the requests that are not sent to upstreams.
Json describeQuarantines(const CrashHistory &Crashes, Instant Now) {
  Json Quarantines = Json::array();
  for (const auto &[Request, Suspect] : Crashes.Suspects_)
    if (const auto Left = quarantineLeft(Crashes, Request, Now))
      Quarantines.push_back({{"fingerprint", toString(Request)},
                             {"crashes", Suspect.Crashes_},
                             {"left_ms", toMillis(*Left).count()}});
  return Quarantines;
}

/// Returns a limit in requests per second; null for none.
Json describeLimit(const StatedRateLimit &Limit) {
  return Limit.PerSecond_ ? Json(*Limit.PerSecond_) : Json();
}

} // namespace

AdminService::AdminService(const Clock &Time, const DaemonSettings &Settings,
                           const SiteState &Site,
                           const OwnershipManager &Ownership,
                           const UpstreamGateway &Gateway,
                           const StoreClient &PlatformStore,
                           const AuditTrail &Trail, Metrics &DaemonMetrics)
    : Time_(Time), Settings_(Settings), Site_(Site), Ownership_(Ownership),
      Gateway_(Gateway), PlatformStore_(PlatformStore), Trail_(Trail),
      DaemonMetrics_(DaemonMetrics) {}

void AdminService::handle(const HttpRequest &Request, HttpExchange &Exchange) {
  const std::string Path(pathOf(Request.Target_));
  if (Path == "/status")
    Exchange.respond(status());
  else if (Path == "/explain")
    Exchange.respond(explain(Request));
  else if (Path == "/audit")
    Exchange.respond(audit(Request));
  else if (Path == "/metrics")
    Exchange.respond(metrics());
  else
    Exchange.respond(
        errorResponse(404, "no admin path " + Path,
                      "see docs/OPERATIONS.md for the admin paths"));
}

HttpResponse AdminService::status() const {
  const Instant Now = Time_.now();
  const KeyOwnershipState &State = Ownership_.state();
  const AdmissionQueue &Queue = Gateway_.queue();
  Json Members = Json::array();
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    Members.push_back(describeMember(Member, Now));
  Json Tables = Json::object();
  for (const auto &[Service, Table] : Site_.Tables_)
    Tables[Service] = describeTable(Table);
  const std::uint64_t Version =
      Site_.Manifest_ == nullptr ? 0 : Site_.Manifest_->Version_;
  return jsonResponse(
      200,
      {{"host", Settings_.Host_},
       {"zone", Settings_.Zone_},
       {"site", Settings_.Site_},
       {"service", Settings_.Service_},
       {"configuration", Version},
       {"store", PlatformStore_.isReachable() ? "answers" : "does not answer"},
       {"evacuated", Site_.Fleet_.EvacuatedZones_},
       {"epoch", State.Epoch_},
       {"lease_left_ms", remainingLeaseMillis(State, Now)},
       {"holds", describeHolds(State, Now)},
       {"upstream",
        {{"accepts", Gateway_.isAccepting()},
         {"slots", Queue.Slots_},
         {"running", Queue.Running_},
         {"queued", Queue.Waiting_.size()},
         {"work_ms", toMillis(Queue.ProcessingTime_).count()},
         {"cold", isCold(Queue, Now)},
         {"sent", Gateway_.sentRequests()},
         {"stated_limit", describeLimit(Gateway_.statedRateLimit())}}},
       {"quarantined", describeQuarantines(Site_.Crashes_, Now)},
       {"members", std::move(Members)},
       {"tables", std::move(Tables)}});
}

HttpResponse AdminService::explain(const HttpRequest &Request) const {
  const std::string Service = queryParameter(Request.Target_, "service");
  const std::string Key = queryParameter(Request.Target_, "key");
  const auto Table = Site_.Tables_.find(Service);
  if (Table == Site_.Tables_.end() || !Table->second.Offset_)
    return errorResponse(404, "service \"" + Service + "\" has no key table",
                         "name a sharded service whose keys have owners");
  // If the settings define the services, keys are strings and are hashed.
  // Otherwise they are numbers.
  KeyId Number = 0;
  if (!Settings_.Services_.empty())
    Number = shardOfKey(Key, LastKey + 1);
  else
    std::from_chars(Key.data(), Key.data() + Key.size(), Number);
  const KeyRow *Row = findRow(Table->second, Number);
  Json Body = {{"service", Service}, {"key", Key}, {"number", Number}};
  if (Row == nullptr) {
    Body["why"] = "without an owner until the next table";
    return jsonResponse(200, Body);
  }
  const Instant Now = Time_.now();
  const bool Own = Row->Owner_.Host_ == Settings_.Host_;
  Body["owner_host"] = Row->Owner_.Host_;
  Body["upstream"] = Row->Owner_.Upstream_;
  Body["epoch"] = Row->Owner_.Epoch_;
  Body["token"] = Row->Fence_;
  Body["why"] = "owned by another host by the table";
  if (Own) {
    Body["lease_left_ms"] = remainingLeaseMillis(Ownership_.state(), Now);
    Body["why"] = Ownership_.serves(Number)
                      ? "owned by this host; its upstream holds the key"
                      : "owned by this host; its upstream does not hold the "
                        "key now";
  }
  return jsonResponse(200, Body);
}

HttpResponse AdminService::audit(const HttpRequest &Request) const {
  const std::string Since = queryParameter(Request.Target_, "since");
  Offset First = 0;
  std::from_chars(Since.data(), Since.data() + Since.size(), First);
  Json Entries = Json::array();
  for (const AuditEntry &Entry : Trail_.since(First))
    Entries.push_back({{"number", Entry.Number_},
                       {"at_ms", Entry.At_.count()},
                       {"who", Entry.Host_},
                       {"what", Entry.Event_},
                       {"details", Entry.Details_},
                       {"why", Entry.Reason_}});
  return jsonResponse(200, Entries);
}

HttpResponse AdminService::metrics() {
  const AdmissionQueue &Queue = Gateway_.queue();
  DaemonMetrics_.setUpstreamLoad(Settings_.Service_, Queue.Slots_,
                                 Queue.Running_);
  DaemonMetrics_.setUpstreamRate(
      Settings_.Service_, Gateway_.statedRateLimit().PerSecond_.value_or(0),
      static_cast<double>(Gateway_.sentRequests()));
  std::size_t Owned = 0;
  for (const KeyRow &Row : rowsOf(Ownership_.state().Table_, Settings_.Host_))
    Owned += sizeOf(Row.Range_);
  DaemonMetrics_.setOwnedShards(Owned);
  DaemonMetrics_.setHotKeys(Ownership_.hotKeys().size());
  HttpResponse Response;
  Response.Headers_.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Response.Body_ = DaemonMetrics_.text();
  return Response;
}

} // namespace lagoonhitch
