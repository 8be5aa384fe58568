#include "daemon/admin_service.h"

#include "daemon/owner_service.h"
#include "observe/audit_trail.h"
#include "observe/metrics.h"
#include "ownership/shard_hash.h"
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
  Response.Body_ = Body.dump();
  return Response;
}

HttpResponse refusal(unsigned Status, const std::string &Message,
                     const std::string &Remedy) {
  return jsonResponse(
      Status, {{"kind", "refused"}, {"message", Message}, {"remedy", Remedy}});
}

/// Reads a query parameter without decoding it.
std::string queryField(const std::string &Target, const std::string &Name) {
  ServiceSettings Reader;
  Reader.KeySource_ = KeySource::Query;
  Reader.KeyName_ = Name;
  return keyFromTarget(Reader, Target).value_or("");
}

Json describeMember(const Table &State, const Member &One) {
  return {{"id", One.Id_},
          {"host", One.Host_},
          {"zone", One.Zone_},
          {"peer", One.PeerAddress_},
          {"draining", One.Draining_},
          {"slots", One.Slots_},
          {"shards", ownedShards(State, One.Id_)},
          {"epoch", One.Seats_.Epoch_},
          {"witnesses", One.Seats_.Witnesses_},
          {"heir", One.Seats_.Heir_},
          {"changing_seats", One.OldSeats_.has_value()}};
}

std::string whyOf(const RoutingView &View, const Shard &One,
                  const ShardKey &Key, bool HasLease) {
  if (View.Inherited_.count(Key) > 0)
    return "taken over by this daemon; the log record is on its way";
  if (View.Releasing_.count(Key) > 0)
    return "owned by this daemon, which is handing it over";
  if (One.Owner_ == NoMember)
    return "without an owner until the next plan";
  if (One.Target_ != NoMember)
    return "owned; a planned move to another member is under way";
  if (One.Owner_ != View.Self_)
    return "owned by another member by the log";
  return HasLease ? "owned by this daemon by the log, with a valid lease"
                  : "owned by this daemon by the log, but its lease lapsed";
}

} // namespace

AdminService::AdminService(const Clock &Time, const ServingState &Serving,
                           const DaemonSettings &Settings, OwnerService &Owner,
                           const AuditTrail &Trail, Metrics &Numbers)
    : Time_(Time), Serving_(Serving), Settings_(Settings), Owner_(Owner),
      Trail_(Trail), Numbers_(Numbers) {}

void AdminService::handle(const HttpRequest &Request, HttpExchange &Exchange) {
  const std::string Path(pathOf(Request.Target_));
  if (Request.Method_ == "POST" && Path == "/announce")
    Exchange.respond(announce(Request));
  else if (Request.Method_ == "GET" && Path == "/status")
    Exchange.respond(status());
  else if (Request.Method_ == "GET" && Path == "/explain")
    Exchange.respond(explain(Request));
  else if (Request.Method_ == "GET" && Path == "/audit")
    Exchange.respond(audit(Request));
  else if (Request.Method_ == "GET" && Path == "/metrics")
    Exchange.respond(metrics());
  else
    Exchange.respond(refusal(404, "there is no " + Path,
                             "docs/OPERATING.md lists the admin paths"));
}

HttpResponse AdminService::announce(const HttpRequest &Request) {
  UpstreamInfo Info;
  try {
    const Json Body = Json::parse(Request.Body_);
    Body.at("service").get_to(Info.Service_);
    Body.at("instance").get_to(Info.Instance_);
    Body.at("address").get_to(Info.Address_);
    Body.at("slots").get_to(Info.Slots_);
    Body.at("connections").get_to(Info.Connections_);
    Info.ChecksTokens_ = Body.value("checks_tokens", false);
    Info.Draining_ = Body.value("draining", false);
  } catch (const Json::exception &Failure) {
    return refusal(400,
                   std::string("malformed announcement: ") + Failure.what(),
                   "send service, instance, address, slots, connections");
  }
  const bool Known =
      std::any_of(Settings_.Services_.begin(), Settings_.Services_.end(),
                  [&Info](const ServiceSettings &Service) {
                    return Service.Name_ == Info.Service_;
                  });
  if (!Known)
    return refusal(400, "there is no service \"" + Info.Service_ + "\"",
                   "add the service to the settings or mend its name");
  Owner_.announceUpstream(Info);
  return jsonResponse(
      200, {{"renew_within_ms", Settings_.AnnounceExpiry_.count() / 2}});
}

HttpResponse AdminService::status() const {
  const RoutingView &View = Serving_.view();
  Json Members = Json::array();
  for (const auto &[Id, One] : View.Table_->Members_)
    Members.push_back(describeMember(*View.Table_, One));
  Json Upstreams = Json::object();
  for (const auto &[Service, State] : Owner_.admissions())
    Upstreams[Service] = {{"capacity", State.Capacity_},
                          {"limit", State.Limit_},
                          {"in_flight", State.InFlight_}};
  const Duration Left = std::max<Duration>(
      Duration::zero(), Serving_.leaseUntil() > Time_.now()
                            ? Serving_.leaseUntil() - Time_.now()
                            : Duration::zero());
  return jsonResponse(200, {{"host", Settings_.Host_},
                            {"zone", Settings_.Zone_},
                            {"site", Settings_.Site_},
                            {"member", View.Self_},
                            {"lease_left_ms", toMillis(Left).count()},
                            {"log_next", View.Table_->Next_},
                            {"plan_version", View.Table_->PlanVersion_},
                            {"inherited", View.Inherited_.size()},
                            {"upstreams", std::move(Upstreams)},
                            {"members", std::move(Members)}});
}

HttpResponse AdminService::explain(const HttpRequest &Request) const {
  const std::string Service = queryField(Request.Target_, "service");
  const std::string Key = queryField(Request.Target_, "key");
  const RoutingView &View = Serving_.view();
  const auto Shards = View.Table_->Services_.find(Service);
  if (Shards == View.Table_->Services_.end())
    return refusal(404, "service \"" + Service + "\" has no shards",
                   "name a service of the settings whose shards are planned");
  const ShardId Id =
      shardOfKey(Key, static_cast<std::uint32_t>(Shards->second.size()));
  const Shard &One = Shards->second[Id];
  const Member *Owner = findMember(*View.Table_, One.Owner_);
  const bool HasLease = Serving_.leaseUntil() > Time_.now();
  const Duration Left =
      HasLease ? Serving_.leaseUntil() - Time_.now() : Duration::zero();
  Json Body = {{"service", Service},
               {"key", Key},
               {"shard", Id},
               {"owner", One.Owner_},
               {"owner_host", Owner == nullptr ? "" : Owner->Host_},
               {"token", One.Token_},
               {"target", One.Target_},
               {"why", whyOf(View, One, {Service, Id}, HasLease)}};
  // Only the owner itself knows what is left of its lease.
  if (One.Owner_ == View.Self_)
    Body["lease_left_ms"] = toMillis(Left).count();
  return jsonResponse(200, Body);
}

HttpResponse AdminService::audit(const HttpRequest &Request) const {
  const std::string Since = queryField(Request.Target_, "since");
  Offset First = 0;
  std::from_chars(Since.data(), Since.data() + Since.size(), First);
  Json Entries = Json::array();
  for (const AuditEntry &Entry : Trail_.since(First))
    Entries.push_back({{"number", Entry.Number_},
                       {"at_ms", Entry.At_.count()},
                       {"who", Entry.Who_},
                       {"what", Entry.What_},
                       {"details", Entry.Details_},
                       {"why", Entry.Why_}});
  return jsonResponse(200, Entries);
}

HttpResponse AdminService::metrics() {
  for (const auto &[Service, State] : Owner_.admissions())
    Numbers_.setUpstream(Service, State.Limit_, State.InFlight_);
  Numbers_.setOwnedShards(
      ownedShards(*Serving_.view().Table_, Serving_.view().Self_));
  HttpResponse Response;
  Response.Headers_.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Response.Body_ = Numbers_.text();
  return Response;
}

} // namespace lagoonhitch
