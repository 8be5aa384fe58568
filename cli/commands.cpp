#include "cli/commands.h"

#include "cli/admin_client.h"
#include "cli/manifest_command.h"
#include "core/clock.h"
#include "settings/host_settings.h"
#include "settings/settings_check.h"
#include "settings/settings_error.h"
#include "settings/settings_load.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

/// Returns whether a text can be sent as a query parameter (RFC 3986) as it is.
/// Daemons hash the raw bytes of a key without decoding them, so the text must
/// not be percent-encoded.
bool isPlainQueryText(const std::string &Text) {
  return Text.find_first_of("&# %?\r\n") == std::string::npos;
}

void printMember(const Json &Member, std::ostream &Out) {
  Out << std::left << std::setw(20) << Member.value("host", "") << std::setw(10)
      << Member.value("zone", "") << std::setw(14)
      << Member.value("service", "") << std::setw(10)
      << Member.value("state", "") << std::right << std::setw(4)
      << Member.value("running", 0) << " + " << std::left << std::setw(4)
      << Member.value("queued", 0) << "of " << std::setw(4)
      << Member.value("slots", 0) << "last contact "
      << Member.value("heard_ms_ago", -1) << " ms ago\n";
}

void printTable(const std::string &Service, const Json &Table,
                std::ostream &Out) {
  Out << "keys of " << Service << ", table at "
      << Table.value("offset", Json()).dump() << "\n";
  for (const Json &Row : Table.at("rows"))
    Out << "  " << std::right << std::setw(6) << Row.value("first", 0) << " to "
        << std::left << std::setw(6) << Row.value("last", 0) << std::setw(20)
        << Row.value("host", "") << "fence " << Row.value("fence", 0ULL)
        << ", epoch " << Row.value("epoch", 0ULL) << "\n";
}

void printHolds(const Json &Body, std::ostream &Out) {
  for (const Json &Hold : Body.at("holds"))
    Out << "holds " << Hold.value("first", 0) << " to " << Hold.value("last", 0)
        << ", fence " << Hold.value("fence", 0ULL) << ", "
        << Hold.value("left_ms", 0) << " ms left\n";
}

void printStatus(const Json &Body, std::ostream &Out) {
  const Json &Upstream = Body.at("upstream");
  Out << "host " << Body.value("host", "") << ", zone "
      << Body.value("zone", "") << ", site " << Body.value("site", "") << "\n"
      << "configuration version " << Body.value("configuration", 0ULL)
      << ", the store " << Body.value("store", "") << "\n"
      << "epoch " << Body.value("epoch", 0ULL) << ", lease left "
      << Body.value("lease_left_ms", 0) << " ms\n"
      << "upstream of " << Body.value("service", "") << ": "
      << Upstream.value("running", 0) << " running and "
      << Upstream.value("queued", 0) << " queued, "
      << Upstream.value("slots", 0) << " slots, "
      << Upstream.value("work_ms", 0) << " ms per request"
      << (Upstream.value("cold", false) ? ", cold" : "")
      << (Upstream.value("accepts", false) ? "" : ", not accepting requests")
      << "\n";
  printHolds(Body, Out);
  for (const auto &[Service, Table] : Body.at("tables").items())
    printTable(Service, Table, Out);
  for (const Json &Member : Body.at("members"))
    printMember(Member, Out);
}

int runStatus(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const Json Body = AdminClient(Time, Line.AdminAddress_).get("/status");
  if (Line.Json_)
    Out << Body.dump() << "\n";
  else
    printStatus(Body, Out);
  return ExitSuccess;
}

int runExplain(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const std::string &Service = Line.Arguments_[1];
  const std::string &Key = Line.Arguments_[2];
  if (!isPlainQueryText(Service) || !isPlainQueryText(Key))
    return ExitUsage;
  std::string Target = "/explain?service=" + Service;
  Target += "&key=" + Key;
  const Json Body = AdminClient(Time, Line.AdminAddress_).get(Target);
  if (Line.Json_) {
    Out << Body.dump() << "\n";
    return ExitSuccess;
  }
  Out << "key " << Key << " of " << Service << " has number "
      << Body.value("number", 0) << "\n"
      << "owner " << Body.value("owner_host", "") << " (upstream "
      << Body.value("upstream", "") << ", epoch " << Body.value("epoch", 0ULL)
      << "), token " << Body.value("token", 0ULL) << "\n"
      << Body.value("why", "") << "\n";
  if (Body.contains("lease_left_ms"))
    Out << "lease left " << Body.value("lease_left_ms", 0) << " ms\n";
  return ExitSuccess;
}

int runAudit(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const Json Body = AdminClient(Time, Line.AdminAddress_)
                        .get("/audit?since=" + std::to_string(Line.Since_));
  if (Line.Json_) {
    Out << Body.dump() << "\n";
    return ExitSuccess;
  }
  for (const Json &Entry : Body)
    Out << Entry.value("number", 0ULL) << " " << Entry.value("at_ms", 0LL)
        << " " << Entry.value("who", "") << " " << Entry.value("what", "")
        << ": " << Entry.value("details", "") << " (" << Entry.value("why", "")
        << ")\n";
  return ExitSuccess;
}

std::vector<SettingsFault> findFaults(const CommandLine &Line) {
  if (Line.PlatformFile_.empty()) {
    SettingsFiles Files;
    Files.Base_ = Line.SettingsFile_;
    Files.Overlay_ = Line.OverlayFile_;
    Files.Host_ = Line.HostFile_;
    return checkSettings(mergeSettings(Files));
  }
  try {
    loadHostSettings(Line.PlatformFile_);
  } catch (const SettingsError &Failure) {
    return Failure.faults();
  }
  return {};
}

int runSettingsCheck(const CommandLine &Line, std::ostream &Out) {
  const std::vector<SettingsFault> Faults = findFaults(Line);
  Json FaultList = Json::array();
  for (const SettingsFault &Fault : Faults) {
    if (!Line.Json_)
      Out << toString(Fault) << "\n";
    FaultList.push_back({{"path", Fault.Path_},
                         {"found", Fault.Found_},
                         {"allowed", Fault.Allowed_},
                         {"remedy", Fault.Remedy_}});
  }
  if (Line.Json_)
    Out << FaultList.dump() << "\n";
  else if (Faults.empty())
    Out << "the settings are valid\n";
  return Faults.empty() ? ExitSuccess : ExitFailed;
}

} // namespace

int runCommand(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const std::vector<std::string> &Arguments = Line.Arguments_;
  if (Arguments.size() == 1 && Arguments[0] == "status")
    return runStatus(Time, Line, Out);
  if (Arguments.size() == 3 && Arguments[0] == "explain")
    return runExplain(Time, Line, Out);
  if (Arguments.size() == 1 && Arguments[0] == "audit")
    return runAudit(Time, Line, Out);
  const bool ChecksManifest = Arguments.size() == 3 &&
                              Arguments[0] == "manifest" &&
                              Arguments[1] == "check";
  if (ChecksManifest)
    return runManifestCheck({Arguments[2], Line.InForceFile_, Line.Json_}, Out);
  const bool Checks = Arguments.size() >= 2 && Arguments[0] == "settings" &&
                      Arguments[1] == "check";
  if (!Checks)
    return ExitUsage;
  if (Arguments.size() == 2)
    return runSettingsCheck(Line, Out);
  Out << "unexpected argument \"" << Arguments[2]
      << "\": specify files with --settings=FILE, --overlay=FILE and "
         "--host=FILE, or with --platform=FILE alone\n";
  return ExitUsage;
}

} // namespace lagoonhitch
