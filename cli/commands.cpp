#include "cli/commands.h"

#include "cli/admin_client.h"
#include "core/clock.h"
#include "settings/settings_check.h"
#include "settings/settings_load.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

/// Encodes a text for a query (RFC 3986); shards are found by raw bytes, so
/// only what would end the parameter is encoded.
bool isPlainQueryText(const std::string &Text) {
  return Text.find_first_of("&# %?\r\n") == std::string::npos;
}

void printMember(const Json &One, std::ostream &Out) {
  Out << std::left << std::setw(16) << One.value("host", "") << std::setw(10)
      << One.value("zone", "") << std::right << std::setw(8)
      << One.value("id", 0ULL) << std::setw(8) << One.value("shards", 0) << "  "
      << (One.value("draining", false) ? "draining" : "serving") << "\n";
}

void printStatus(const Json &Body, std::ostream &Out) {
  Out << "host " << Body.value("host", "") << ", zone "
      << Body.value("zone", "") << ", site " << Body.value("site", "") << "\n"
      << "member " << Body.value("member", 0ULL) << ", lease left "
      << Body.value("lease_left_ms", 0) << " ms, log read up to "
      << Body.value("log_next", 0ULL) << "\n";
  for (const auto &[Service, State] : Body.at("upstreams").items())
    Out << "upstream " << Service << ": limit " << State.value("limit", 0.0)
        << " of " << State.value("capacity", 0) << ", "
        << State.value("in_flight", 0) << " in flight\n";
  Out << "host            zone        member  shards  state\n";
  for (const Json &One : Body.at("members"))
    printMember(One, Out);
}

int status(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const Json Body = AdminClient(Time, Line.Admin_).get("/status");
  if (Line.Json_)
    Out << Body.dump() << "\n";
  else
    printStatus(Body, Out);
  return ExitDone;
}

int explain(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const std::string &Service = Line.Words_[1];
  const std::string &Key = Line.Words_[2];
  if (!isPlainQueryText(Service) || !isPlainQueryText(Key))
    return ExitUsage;
  std::string Target = "/explain?service=" + Service;
  Target += "&key=" + Key;
  const Json Body = AdminClient(Time, Line.Admin_).get(Target);
  if (Line.Json_) {
    Out << Body.dump() << "\n";
    return ExitDone;
  }
  Out << "key " << Key << " of " << Service << " is in shard "
      << Body.value("shard", 0) << "\n"
      << "owner " << Body.value("owner_host", "") << " (member "
      << Body.value("owner", 0ULL) << "), token " << Body.value("token", 0ULL)
      << "\n"
      << Body.value("why", "") << "\n";
  if (Body.contains("lease_left_ms"))
    Out << "lease left " << Body.value("lease_left_ms", 0) << " ms\n";
  return ExitDone;
}

int audit(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const Json Body = AdminClient(Time, Line.Admin_)
                        .get("/audit?since=" + std::to_string(Line.Since_));
  if (Line.Json_) {
    Out << Body.dump() << "\n";
    return ExitDone;
  }
  for (const Json &Entry : Body)
    Out << Entry.value("number", 0ULL) << " " << Entry.value("at_ms", 0LL)
        << " " << Entry.value("who", "") << " " << Entry.value("what", "")
        << ": " << Entry.value("details", "") << " (" << Entry.value("why", "")
        << ")\n";
  return ExitDone;
}

int checkFiles(const CommandLine &Line, std::ostream &Out) {
  SettingsFiles Files;
  Files.Base_ = Line.Settings_;
  Files.Overlay_ = Line.Overlay_;
  Files.Host_ = Line.Host_;
  const std::vector<SettingsFault> Faults = checkSettings(mergeSettings(Files));
  Json Listed = Json::array();
  for (const SettingsFault &Fault : Faults) {
    if (!Line.Json_)
      Out << toString(Fault) << "\n";
    Listed.push_back({{"path", Fault.Path_},
                      {"found", Fault.Found_},
                      {"allowed", Fault.Allowed_},
                      {"remedy", Fault.Remedy_}});
  }
  if (Line.Json_)
    Out << Listed.dump() << "\n";
  else if (Faults.empty())
    Out << "the settings are sound\n";
  return Faults.empty() ? ExitDone : ExitFailed;
}

} // namespace

int runCommand(const Clock &Time, const CommandLine &Line, std::ostream &Out) {
  const std::vector<std::string> &Words = Line.Words_;
  if (Words.size() == 1 && Words[0] == "status")
    return status(Time, Line, Out);
  if (Words.size() == 3 && Words[0] == "explain")
    return explain(Time, Line, Out);
  if (Words.size() == 1 && Words[0] == "audit")
    return audit(Time, Line, Out);
  if (Words.size() == 2 && Words[0] == "settings" && Words[1] == "check")
    return checkFiles(Line, Out);
  return ExitUsage;
}

} // namespace lagoonhitch
