#include "settings/settings_load.h"

#include "settings/settings_check.h"
#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

Json readFile(const std::string &Name) {
  std::ifstream Source(Name);
  if (!Source)
    throw SettingsError({{"/", "no readable file " + Name, "a JSON file",
                          "check the file's name and its permissions"}});
  try {
    return Json::parse(Source);
  } catch (const Json::exception &Failure) {
    throw SettingsError({{"/", Name + " is not valid JSON: " + Failure.what(),
                          "a JSON object", "correct the JSON syntax"}});
  }
}

Priority parsePriority(const std::string &Name) {
  if (Name == "high")
    return Priority::High;
  return Name == "low" ? Priority::Low : Priority::Normal;
}

KeySource parseKeySource(const std::string &Name) {
  if (Name == "header")
    return KeySource::Header;
  return Name == "query" ? KeySource::Query : KeySource::Path;
}

RequestRule parseRule(const Json &Source) {
  RequestRule Rule;
  Rule.Method_ = Source.at("method").get<std::string>();
  Rule.Path_ = Source.at("path").get<std::string>();
  Rule.Idempotent_ = Source.at("execution") == "repeatable";
  Rule.Priority_ = parsePriority(Source.value("priority", "normal"));
  Rule.Timeout_ = std::chrono::milliseconds(
      Source.value("deadline_ms", Rule.Timeout_.count()));
  return Rule;
}

ServiceSettings parseService(const std::string &Name, const Json &Source) {
  ServiceSettings Service;
  Service.Name_ = Name;
  Service.Prefix_ = Source.at("prefix").get<std::string>();
  Service.Sharded_ = Source.at("placement") == "divided";
  if (Source.value("grants", "calls") == "heartbeat_replies")
    Service.GrantMethod_ = GrantMethod::HeartbeatReplies;
  Service.ShardCount_ = Source.value("shards", 0U);
  Service.Internal_ = Source.value("internal", false);
  const Json Key = Source.value("key", Json::object());
  Service.KeySource_ = parseKeySource(Key.value("from", "path"));
  Service.KeyName_ = Key.value("name", "");
  Service.KeySegment_ = Key.value("segment", 0U);
  for (const Json &Rule : Source.value("rules", Json::array()))
    Service.Rules_.push_back(parseRule(Rule));
  return Service;
}

void readMillis(const Json &Limits, const char *Name,
                std::chrono::milliseconds &Target) {
  Target = std::chrono::milliseconds(Limits.value(Name, Target.count()));
}

void parseLimits(const Json &Limits, DaemonSettings &Settings) {
  readMillis(Limits, "lease_ms", Settings.Lease_);
  readMillis(Limits, "renew_ms", Settings.RenewInterval_);
  readMillis(Limits, "hold_ms", Settings.Hold_);
  readMillis(Limits, "suspect_ms", Settings.SuspectAfter_);
  readMillis(Limits, "stop_timeout_ms", Settings.Bounds_.StopTimeout_);
  Settings.MaxBodyBytes_ = Limits.value("body_bytes", Settings.MaxBodyBytes_);
  Settings.MemoryMegabytes_ =
      Limits.value("memory_mb", Settings.MemoryMegabytes_);
  Settings.MaxDescriptors_ = Limits.value("max_fds", Settings.MaxDescriptors_);
  constexpr double Percent = 100;
  if (Limits.contains("retry_percent"))
    Settings.Bounds_.RetryRatio_ =
        Limits.at("retry_percent").get<double>() / Percent;
}

void parseHost(const Json &Host, DaemonSettings &Settings) {
  Host.at("name").get_to(Settings.Host_);
  Host.at("zone").get_to(Settings.Zone_);
  Host.at("callers").get_to(Settings.CallersAddress_);
  Settings.InternalAddress_ = Host.value("internal", "");
  Settings.PeersPublicAddress_ = Host.value("peers_public", "");
  Host.at("peers").get_to(Settings.PeersAddress_);
  Host.at("service").get_to(Settings.Service_);
  Host.at("upstream").get_to(Settings.UpstreamAddress_);
  Host.at("announce").get_to(Settings.HeartbeatAddress_);
  Settings.ReadyAddress_ = Host.value("ready", "");
  Host.at("admin").get_to(Settings.AdminAddress_);
}

std::string describe(const std::vector<SettingsFault> &Faults) {
  std::string Text =
      "the settings have " + std::to_string(Faults.size()) + " fault(s)";
  for (const SettingsFault &Fault : Faults)
    Text += "\n  " + toString(Fault);
  return Text;
}

} // namespace

SettingsError::SettingsError(std::vector<SettingsFault> Faults)
    : Error(ErrorKind::Settings, describe(Faults),
            "correct the fields listed above; docs/SETTINGS.md describes all "
            "fields"),
      Faults_(std::move(Faults)) {}

Json mergeSettings(const SettingsFiles &Files) {
  Json Merged = readFile(Files.Base_);
  for (const std::string *Name : {&Files.Overlay_, &Files.Host_})
    if (!Name->empty())
      Merged.merge_patch(readFile(*Name));
  return Merged;
}

DaemonSettings parseSettings(const Json &Merged) {
  std::vector<SettingsFault> Faults = checkSettings(Merged);
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
  DaemonSettings Settings;
  Merged.at("site").get_to(Settings.Site_);
  Merged.at("zones").get_to(Settings.Zones_);
  Merged.at("store").get_to(Settings.StoreAddress_);
  for (const auto &[Name, Service] : Merged.at("services").items())
    Settings.Services_.push_back(parseService(Name, Service));
  parseLimits(Merged.value("limits", Json::object()), Settings);
  parseHost(Merged.at("host"), Settings);
  return Settings;
}

} // namespace lagoonhitch
