#include "manifest/manifest_difference.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace lagoonhitch {

namespace {

/// The values of one entry by the names of its fields.
using Fields = std::map<std::string, std::string>;
/// All entries of a manifest by their places.
using Entries = std::map<std::string, Fields>;

std::string text(std::chrono::milliseconds Span) {
  return std::to_string(Span.count()) + " ms";
}

std::string text(bool Value) { return Value ? "yes" : "no"; }

std::string targetsText(const Route &Described) {
  std::string Text;
  for (const RouteTarget &Target : Described.Targets_)
    Text += (Text.empty() ? "" : ", ") + Target.Service_ + " " +
            std::to_string(Target.Weight_);
  return Text;
}

Fields fieldsOf(const Route &Described) {
  return {{"name", Described.Name_},
          {"services and weights", targetsText(Described)},
          {"idempotent", text(Described.Idempotent_)},
          {"attempts", std::to_string(Described.MaxAttempts_)},
          {"timeout", text(Described.Timeout_)},
          {"latency objective", text(Described.Objective_)},
          {"priority", std::to_string(Described.Priority_)}};
}

Fields fieldsOf(const ServiceSpec &Described) {
  return {{"sharded", text(Described.Sharded_)},
          {"keys granted", Described.GrantMethod_ == GrantMethod::Calls
                               ? "by calls"
                               : "in replies to heartbeats"},
          {"health check", Described.HealthPath_},
          {"connections", std::to_string(Described.MaxConnections_)},
          {"cold time", text(Described.ColdStartDuration_)},
          {"cold rate", std::to_string(Described.ColdRate_)},
          {"warm-up of keys", text(Described.WarmUpDuration_)}};
}

Fields fieldsOf(const CallerLimits &Described) {
  return {{"header bytes", std::to_string(Described.MaxHeaderBytes_)},
          {"body bytes", std::to_string(Described.MaxBodyBytes_)},
          {"time to send a request", text(Described.RequestTimeout_)},
          {"idle time", text(Described.IdleTimeout_)}};
}

Entries servicesOf(const Manifest &Config) {
  Entries All;
  for (const auto &[Name, Spec] : Config.Services_)
    All["service " + Name] = fieldsOf(Spec);
  return All;
}

Entries routesOf(const Manifest &Config) {
  Entries All;
  for (const Route &Each : Config.Routes_)
    All.try_emplace("route " + Each.Hostname_ + Each.Prefix_, fieldsOf(Each));
  return All;
}

void compareFields(const std::string &Place, const Fields &Before,
                   const Fields &After,
                   std::vector<ManifestDifference> &Found) {
  for (const auto &[Name, Value] : Before) {
    if (After.at(Name) == Value)
      continue;
    std::string Field = Place;
    Field += ", ";
    Field += Name;
    Found.push_back(
        {ManifestDifference::Kind::Changed, Field, Value, After.at(Name)});
  }
}

void compareEntries(const Entries &Before, const Entries &After,
                    std::vector<ManifestDifference> &Found) {
  for (const auto &[Place, Values] : Before) {
    const auto Kept = After.find(Place);
    if (Kept == After.end())
      Found.push_back({ManifestDifference::Kind::Removed, Place, "", ""});
    else
      compareFields(Place, Values, Kept->second, Found);
  }
  for (const auto &[Place, Values] : After)
    if (!Before.contains(Place))
      Found.push_back({ManifestDifference::Kind::Added, Place, "", ""});
}

} // namespace

std::vector<ManifestDifference> compareManifests(const Manifest &Before,
                                                 const Manifest &After) {
  std::vector<ManifestDifference> Found;
  compareEntries(servicesOf(Before), servicesOf(After), Found);
  compareEntries(routesOf(Before), routesOf(After), Found);
  std::vector<ManifestDifference> Limits =
      compareLimits(Before.Limits_, After.Limits_);
  std::move(Limits.begin(), Limits.end(), std::back_inserter(Found));
  return Found;
}

std::vector<ManifestDifference> compareLimits(const CallerLimits &Before,
                                              const CallerLimits &After) {
  std::vector<ManifestDifference> Found;
  compareFields("limits", fieldsOf(Before), fieldsOf(After), Found);
  return Found;
}

std::vector<ManifestFinding> checkSuccession(const Manifest &InForce,
                                             const Manifest &Next) {
  using Severity = ManifestFinding::Severity;
  std::vector<ManifestFinding> Found;
  if (Next.Version_ <= InForce.Version_)
    Found.push_back({Severity::Error, "version",
                     "version " + std::to_string(Next.Version_) +
                         " never takes effect: version " +
                         std::to_string(InForce.Version_) + " is in force",
                     "give it a higher version"});
  for (const auto &[Name, Spec] : InForce.Services_) {
    const ServiceSpec *Kept = findService(Next, Name);
    if (Kept != nullptr && Kept->Sharded_ != Spec.Sharded_)
      Found.push_back({Severity::Warning, "service \"" + Name + "\"",
                       Spec.Sharded_
                           ? "is no longer sharded"
                           : "becomes sharded: it serves no key until "
                             "keys are assigned",
                       "check that this is intended"});
  }
  return Found;
}

} // namespace lagoonhitch
