#include "manifest/manifest_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace lagoonhitch {

namespace {

using Findings = std::vector<ManifestFinding>;

std::string quoted(const std::string &Text) { return '"' + Text + '"'; }

std::string placeOf(const Route &Checked) {
  return "route " + quoted(Checked.Name_) + " (" + Checked.Hostname_ +
         Checked.Prefix_ + ")";
}

std::string placeOf(const ServiceSpec &Checked) {
  return "service " + quoted(Checked.Name_);
}

std::string millisText(std::chrono::milliseconds Span) {
  return std::to_string(Span.count()) + " ms";
}

void addError(Findings &Found, std::string Place, std::string Message,
              std::string Remedy) {
  Found.push_back({ManifestFinding::Severity::Error, std::move(Place),
                   std::move(Message), std::move(Remedy)});
}

void addWarning(Findings &Found, std::string Place, std::string Message,
                std::string Remedy) {
  Found.push_back({ManifestFinding::Severity::Warning, std::move(Place),
                   std::move(Message), std::move(Remedy)});
}

/// Requests are matched by their hostname without a port, and by the longest
/// prefix of their path.
void checkMatching(const Route &Checked, Findings &Found) {
  if (Checked.Hostname_.empty() ||
      Checked.Hostname_.find(':') != std::string::npos)
    addError(Found, placeOf(Checked),
             "never matches: its hostname is " + quoted(Checked.Hostname_),
             "give a hostname without a port");
  const std::string &Prefix = Checked.Prefix_;
  const bool HasSlashes =
      !Prefix.empty() && Prefix.front() == '/' && Prefix.back() == '/';
  if (!HasSlashes)
    addError(Found, placeOf(Checked),
             "its path prefix " + quoted(Prefix) +
                 " does not begin and end with a slash",
             "add the slash");
  if (Prefix.find_first_of("?#") != std::string::npos)
    addError(Found, placeOf(Checked),
             "never matches: its path prefix " + quoted(Prefix) +
                 " has a query or a fragment",
             "give the path alone");
}

/// Of two routes with the same hostname and prefix, only the first is used.
void checkDuplicates(const Manifest &Config, Findings &Found) {
  std::map<std::pair<std::string, std::string>, const Route *> Seen;
  for (const Route &Checked : Config.Routes_) {
    const auto [First, Added] =
        Seen.try_emplace({Checked.Hostname_, Checked.Prefix_}, &Checked);
    if (!Added)
      addError(Found, placeOf(Checked),
               "never matches: route " + quoted(First->second->Name_) +
                   " has the same hostname and path prefix",
               "remove one of the two");
  }
}

void checkTargets(const Route &Checked, const Manifest &Config,
                  Findings &Found) {
  const bool AllZero = std::all_of(
      Checked.Targets_.begin(), Checked.Targets_.end(),
      [](const RouteTarget &Target) { return Target.Weight_ == 0; });
  std::set<std::string> Named;
  for (const RouteTarget &Target : Checked.Targets_) {
    if (findService(Config, Target.Service_) == nullptr)
      addError(Found, placeOf(Checked),
               "its service " + quoted(Target.Service_) + " is not defined",
               "define the service or correct its name");
    if (!Named.insert(Target.Service_).second)
      addWarning(Found, placeOf(Checked),
                 "names service " + quoted(Target.Service_) + " twice",
                 "add up the weights in one entry");
    if (Target.Weight_ == 0 && !AllZero)
      addWarning(Found, placeOf(Checked),
                 "sends nothing to service " + quoted(Target.Service_) +
                     ", whose weight is 0",
                 "remove the entry or give it a weight");
  }
  if (AllZero && Checked.Targets_.size() > 1)
    addError(Found, placeOf(Checked),
             "all weights are 0, so all requests go to service " +
                 quoted(Checked.Targets_.front().Service_),
             "give the services weights");
}

void checkTimes(const Route &Checked, Findings &Found) {
  if (Checked.Timeout_.count() <= 0)
    addError(Found, placeOf(Checked),
             "rejects all requests: its timeout is " +
                 millisText(Checked.Timeout_),
             "set a timeout above 0");
  if (Checked.Objective_.count() <= 0)
    addError(Found, placeOf(Checked),
             "its latency objective is " + millisText(Checked.Objective_),
             "set a latency objective above 0");
  if (Checked.Objective_ > Checked.Timeout_)
    addError(Found, placeOf(Checked),
             "its latency objective (" + millisText(Checked.Objective_) +
                 ") is longer than its timeout (" +
                 millisText(Checked.Timeout_) + ")",
             "make the timeout at least as long");
  if (Checked.MaxAttempts_ == 0)
    addError(Found, placeOf(Checked), "no attempt is allowed",
             "allow at least one attempt");
}

/// Requests wait by rank, so a service's less urgent ones can't meet a shorter
/// objective while it is full.
void checkRanks(const Manifest &Config, Findings &Found) {
  std::map<std::string, std::vector<const Route *>> ByService;
  for (const Route &Checked : Config.Routes_)
    for (const RouteTarget &Target : Checked.Targets_)
      ByService[Target.Service_].push_back(&Checked);
  for (const auto &[Service, Routes] : ByService)
    for (const Route *Low : Routes) {
      const auto High =
          std::find_if(Routes.begin(), Routes.end(), [Low](const Route *Other) {
            return Other->Priority_ < Low->Priority_ &&
                   Other->Objective_ > Low->Objective_;
          });
      if (High != Routes.end())
        addWarning(Found, placeOf(*Low),
                   "waits behind route " + quoted((*High)->Name_) +
                       " at service " + quoted(Service) +
                       ", which is more urgent (" +
                       std::to_string((*High)->Priority_) + " before " +
                       std::to_string(Low->Priority_) +
                       ") but has a longer latency objective (" +
                       millisText((*High)->Objective_) + ", here " +
                       millisText(Low->Objective_) + ")",
                   "check the priorities of both");
    }
}

void checkService(const ServiceSpec &Checked, Findings &Found) {
  const bool HasColdTime = Checked.ColdStartDuration_.count() > 0;
  if (Checked.ColdRate_ < 0)
    addError(Found, placeOf(Checked), "the rate of a cold upstream is negative",
             "set a rate above 0, or 0 for no limit");
  if (HasColdTime != (Checked.ColdRate_ > 0))
    addWarning(Found, placeOf(Checked),
               HasColdTime
                   ? "upstreams are cold after their start, but no rate is set"
                   : "a rate for cold upstreams is set, but they are never "
                     "cold after their start",
               "set both or neither");
  if (Checked.MaxConnections_ == 0)
    addError(Found, placeOf(Checked), "its upstreams accept no connection",
             "allow at least one connection");
  if (!Checked.HealthPath_.starts_with('/'))
    addError(Found, placeOf(Checked),
             "the path of its health check, " + quoted(Checked.HealthPath_) +
                 ", does not begin with a slash",
             "add the slash");
  const bool HasKeyOptions = Checked.WarmUpDuration_.count() > 0 ||
                             Checked.GrantMethod_ != GrantMethod::Calls;
  if (!Checked.Sharded_ && HasKeyOptions)
    addWarning(Found, placeOf(Checked),
               "has options for keys, but is not sharded",
               "remove them, or make the service sharded");
}

void checkUse(const Manifest &Config, Findings &Found) {
  std::set<std::string> Used;
  for (const Route &Checked : Config.Routes_)
    for (const RouteTarget &Target : Checked.Targets_)
      Used.insert(Target.Service_);
  for (const auto &[Name, Spec] : Config.Services_)
    if (!Used.contains(Name))
      addWarning(Found, placeOf(Spec), "no route sends requests to it",
                 "remove it, or add a route");
}

void checkLimits(const CallerLimits &Limits, Findings &Found) {
  const auto CheckPositive = [&Found](bool Positive, const char *Name) {
    if (!Positive)
      addError(Found, "limits", std::string(Name) + " is 0",
               "set it above 0, or leave it out for the default");
  };
  CheckPositive(Limits.MaxHeaderBytes_ > 0, "the size of headers");
  CheckPositive(Limits.MaxBodyBytes_ > 0, "the size of bodies");
  CheckPositive(Limits.RequestTimeout_.count() > 0,
                "the time to send a request");
  CheckPositive(Limits.IdleTimeout_.count() > 0,
                "the time of an idle connection");
}

/// Callers that close connections by the same idle time give up such requests.
void checkIdleTimes(const Manifest &Config, Findings &Found) {
  for (const Route &Checked : Config.Routes_)
    if (Checked.Timeout_ > Config.Limits_.IdleTimeout_)
      addWarning(Found, placeOf(Checked),
                 "its timeout (" + millisText(Checked.Timeout_) +
                     ") is longer than connections may be idle (" +
                     millisText(Config.Limits_.IdleTimeout_) + ")",
                 "lengthen the idle time or shorten the timeout");
}

} // namespace

std::vector<ManifestFinding> checkManifest(const Manifest &Config) {
  Findings Found;
  checkLimits(Config.Limits_, Found);
  for (const auto &[Name, Spec] : Config.Services_)
    checkService(Spec, Found);
  checkUse(Config, Found);
  checkDuplicates(Config, Found);
  for (const Route &Checked : Config.Routes_) {
    checkMatching(Checked, Found);
    checkTargets(Checked, Config, Found);
    checkTimes(Checked, Found);
  }
  checkIdleTimes(Config, Found);
  checkRanks(Config, Found);
  return Found;
}

} // namespace lagoonhitch
