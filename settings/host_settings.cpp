#include "settings/host_settings.h"

#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

/// Below these values, a limit of the host is taken for a mistake.
constexpr double MinMegabytes = 64;
constexpr double MinDescriptors = 1024;

/// Reads the fields of a JSON object and collects their faults.
class FieldReader {
public:
  explicit FieldReader(const Json &Source, std::string Path)
      : Source_(Source), Path_(std::move(Path)) {}

  /// Reads a required, non-empty string.
  void readString(const char *Name, std::string &Target) {
    const Json *Field = find(Name);
    if (Field == nullptr || !Field->is_string() || Field->empty() ||
        Field->get_ref<const std::string &>().empty()) {
      addFault(Name, Field, "a non-empty string");
      return;
    }
    Target = Field->get<std::string>();
  }

  /// Reads a non-negative number of seconds; a missing or null field keeps its
  /// default.
  void readSeconds(const char *Name, std::chrono::milliseconds &Target) {
    double Value = static_cast<double>(Target.count()) / MillisPerSecond;
    readNumber(Name, Value);
    Target = std::chrono::milliseconds(
        static_cast<std::int64_t>(Value * MillisPerSecond));
  }

  /// Reads a non-negative number; a missing or null field keeps its default.
  void readNumber(const char *Name, double &Target) {
    const Json *Field = find(Name);
    if (Field == nullptr || Field->is_null())
      return;
    if (!Field->is_number() || Field->get<double>() < 0) {
      addFault(Name, Field, "a non-negative number");
      return;
    }
    Target = Field->get<double>();
  }

  /// Reads a limit of the host. It keeps its default if the field is not a
  /// number in the range: a platform that does not know the limit must not keep
  /// the daemon from starting.
  void readHostLimit(const char *Name, double Min, std::size_t &Target) {
    constexpr double Max = 1048576;
    const Json *Field = find(Name);
    if (Field == nullptr || !Field->is_number())
      return;
    const double Value = Field->get<double>();
    if (Value >= Min && Value <= Max)
      Target = static_cast<std::size_t>(Value);
  }

  /// Reads a field that may be missing.
  void readFlag(const char *Name, bool &Target) {
    const Json *Field = find(Name);
    if (Field == nullptr)
      return;
    if (Field->is_boolean())
      Field->get_to(Target);
    else
      addFault(Name, Field, "true or false");
  }

  std::vector<SettingsFault> takeFaults() { return std::move(Faults_); }

private:
  static constexpr double MillisPerSecond = 1000;

  const Json *find(const char *Name) const {
    if (!Source_.is_object())
      return nullptr;
    const auto Found = Source_.find(Name);
    return Found == Source_.end() ? nullptr : &*Found;
  }

  void addFault(const char *Name, const Json *Field, const char *Allowed) {
    Faults_.push_back({Path_ + "/" + Name,
                       Field == nullptr ? "nothing" : Field->dump(), Allowed,
                       "correct the field in the host's settings file"});
  }

  const Json &Source_;
  std::string Path_;
  std::vector<SettingsFault> Faults_;
};

std::vector<SettingsFault> readBounds(const Json &Source, SiteBounds &Bounds) {
  FieldReader Fields(Source, "/bounds");
  Fields.readSeconds("drain_s", Bounds.DrainTimeout_);
  Fields.readSeconds("evacuate_s", Bounds.EvacuationTimeout_);
  Fields.readSeconds("stop_s", Bounds.StopTimeout_);
  Fields.readSeconds("max_hold_s", Bounds.MaxHold_);
  Fields.readNumber("retry_ratio", Bounds.RetryRatio_);
  Fields.readNumber("retry_slack", Bounds.RetrySlack_);
  Fields.readSeconds("retry_window_s", Bounds.RetryWindow_);
  return Fields.takeFaults();
}

} // namespace

DaemonSettings parseHostSettings(const Json &Source) {
  DaemonSettings Settings;
  FieldReader Fields(Source, "");
  Fields.readString("host", Settings.Host_);
  Fields.readString("zone", Settings.Zone_);
  Fields.readString("service", Settings.Service_);
  Fields.readString("upstream", Settings.UpstreamAddress_);
  Fields.readString("callers", Settings.CallersAddress_);
  Fields.readString("ready", Settings.ReadyAddress_);
  Fields.readString("announce", Settings.HeartbeatAddress_);
  Fields.readString("peers", Settings.PeersAddress_);
  Fields.readString("admin", Settings.AdminAddress_);
  Fields.readString("store", Settings.StoreAddress_);
  Fields.readFlag("first_start", Settings.FirstStart_);
  Fields.readHostLimit("memory_mb", MinMegabytes, Settings.MemoryMegabytes_);
  Fields.readHostLimit("max_fds", MinDescriptors, Settings.MaxDescriptors_);
  std::vector<SettingsFault> Faults = Fields.takeFaults();
  const Json None = Json::object();
  const Json &Bounds = Source.is_object() && Source.contains("bounds")
                           ? Source.at("bounds")
                           : None;
  for (SettingsFault &Fault : readBounds(Bounds, Settings.Bounds_))
    Faults.push_back(std::move(Fault));
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
  return Settings;
}

DaemonSettings loadHostSettings(const std::string &FileName) {
  std::ifstream Source(FileName);
  if (!Source)
    throw SettingsError({{"/", "no readable file " + FileName, "a JSON file",
                          "check the file's name and its permissions"}});
  try {
    return parseHostSettings(Json::parse(Source));
  } catch (const Json::exception &Failure) {
    throw SettingsError(
        {{"/", FileName + " is not valid JSON: " + Failure.what(),
          "a JSON object", "correct the JSON syntax"}});
  }
}

} // namespace lagoonhitch
