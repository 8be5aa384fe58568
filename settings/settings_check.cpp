#include "settings/settings_check.h"

#include "settings/daemon_settings.h"
#include "settings/rule_match.h"
#include "settings/schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

/// Converts a path from valijson, such as `<root>[a][b]`, to a JSON pointer.
std::string toJsonPointer(const std::vector<std::string> &Context) {
  std::string Pointer;
  for (std::size_t Index = 1; Index < Context.size(); ++Index) {
    std::string Part = Context[Index];
    std::erase_if(Part, [](char C) { return C == '[' || C == ']'; });
    Pointer += "/" + Part;
  }
  return Pointer.empty() ? "/" : Pointer;
}

/// Returns the value at a JSON pointer as text, shortened if it is long.
std::string describeValue(const Json &Root, const std::string &Pointer) {
  constexpr std::size_t MaxShown = 80;
  try {
    const std::string Text = Pointer == "/"
                                 ? "the entire document"
                                 : Root.at(Json::json_pointer(Pointer)).dump();
    return Text.size() > MaxShown ? Text.substr(0, MaxShown) + "..." : Text;
  } catch (const Json::exception &) {
    return "nothing";
  }
}

std::vector<SettingsFault> checkSchema(const Json &Merged) {
  const Json SchemaText = Json::parse(settingsSchema());
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(SchemaText),
                        Schema);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  std::vector<SettingsFault> Faults;
  if (Validator.validate(
          Schema, valijson::adapters::NlohmannJsonAdapter(Merged), &Results))
    return Faults;
  valijson::ValidationResults::Error Failure;
  while (Results.popError(Failure)) {
    const std::string Pointer = toJsonPointer(Failure.context);
    Faults.push_back(
        {Pointer, describeValue(Merged, Pointer), Failure.description,
         "correct the field; docs/SETTINGS.md describes all fields"});
  }
  return Faults;
}

bool hasZone(const Json &Merged, const std::string &Zone) {
  const Json &Zones = Merged.at("zones");
  return std::find(Zones.begin(), Zones.end(), Json(Zone)) != Zones.end();
}

void checkHost(const Json &Merged, std::vector<SettingsFault> &Faults) {
  const std::string Zone = Merged.at("host").at("zone").get<std::string>();
  if (!hasZone(Merged, Zone))
    Faults.push_back({"/host/zone", Json(Zone).dump(),
                      "one of " + Merged.at("zones").dump(),
                      "use a zone of the site or add this one to /zones"});
  for (const char *Field : {"upstream", "callers", "internal", "announce",
                            "ready", "peers", "peers_public", "admin"}) {
    if (!Merged["host"].contains(Field))
      continue;
    const std::string Address = Merged["host"][Field].get<std::string>();
    const std::string Port = Address.substr(Address.rfind(':') + 1);
    if (std::stoul(Port) > 65535)
      Faults.push_back({std::string("/host/") + Field, Json(Address).dump(),
                        "a port from 0 to 65535", "choose a valid port"});
  }
}

void checkKey(const std::string &Path, const Json &Service,
              std::vector<SettingsFault> &Faults) {
  const bool Divided = Service.at("placement") == "divided";
  if (!Divided) {
    if (Service.contains("shards"))
      Faults.push_back({Path + "/shards", Service["shards"].dump(),
                        "no shards with placement \"shared\"",
                        "remove shards or set placement to \"divided\""});
    return;
  }
  if (!Service.contains("shards"))
    Faults.push_back({Path + "/shards", "nothing", "1 to 65536",
                      "set the number of shards of the service"});
  if (!Service.contains("key")) {
    Faults.push_back({Path + "/key", "nothing", "an object with \"from\"",
                      "specify which part of a request contains the key"});
    return;
  }
  const Json &Key = Service["key"];
  const bool FromPath = Key.at("from") == "path";
  const char *Needed = FromPath ? "segment" : "name";
  if (!Key.contains(Needed))
    Faults.push_back({Path + "/key/" + Needed, "nothing",
                      FromPath ? "0 to 15" : "a name",
                      std::string("add \"") + Needed + "\" to the key"});
}

void checkRules(const std::string &Path, const Json &Service,
                std::vector<SettingsFault> &Faults) {
  const Json Rules = Service.value("rules", Json::array());
  for (std::size_t Later = 0; Later < Rules.size(); ++Later) {
    const std::string Pattern = Rules[Later].at("path").get<std::string>();
    const std::string Pointer = Path + "/rules/" + std::to_string(Later);
    if (!Pattern.starts_with(Service.at("prefix").get<std::string>()))
      Faults.push_back(
          {Pointer + "/path", Json(Pattern).dump(),
           "a path that starts with " + Service.at("prefix").dump(),
           "start the path with the service's prefix"});
    for (std::size_t Earlier = 0; Earlier < Later; ++Earlier) {
      if (Rules[Earlier].at("method") != Rules[Later].at("method"))
        continue;
      const std::string Other = Rules[Earlier].at("path").get<std::string>();
      if (patternsOverlap(Other, Pattern))
        Faults.push_back({Pointer, Json(Pattern).dump(),
                          "at most one rule for each request",
                          "rule " + std::to_string(Earlier) + " (" + Other +
                              ") matches the same requests; change one"});
    }
  }
}

void checkPrefixes(const Json &Services, std::vector<SettingsFault> &Faults) {
  for (auto Later = Services.begin(); Later != Services.end(); ++Later)
    for (auto Earlier = Services.begin(); Earlier != Later; ++Earlier)
      if (Earlier.value().at("prefix") == Later.value().at("prefix"))
        Faults.push_back(
            {"/services/" + Later.key() + "/prefix",
             Later.value().at("prefix").dump(),
             "a prefix that no other service has",
             "service " + Earlier.key() + " has the same prefix; change one"});
}

void checkLease(const Json &Merged, std::vector<SettingsFault> &Faults) {
  const DaemonSettings Default;
  const Json Limits = Merged.value("limits", Json::object());
  const auto Lease = Limits.value("lease_ms", Default.Lease_.count());
  const auto Renew = Limits.value("renew_ms", Default.RenewInterval_.count());
  const auto Hold = Limits.value("hold_ms", Default.Hold_.count());
  if (Renew * 2 > Lease)
    Faults.push_back(
        {"/limits/renew_ms", std::to_string(Renew),
         "at most half of lease_ms (" + std::to_string(Lease) + ")",
         "reduce renew_ms or increase lease_ms"});
  if (Hold >= Lease)
    Faults.push_back({"/limits/hold_ms", std::to_string(Hold),
                      "less than lease_ms (" + std::to_string(Lease) + ")",
                      "reduce hold_ms or increase lease_ms"});
}

void checkHostService(const Json &Merged, std::vector<SettingsFault> &Faults) {
  const std::string Service =
      Merged.at("host").at("service").get<std::string>();
  if (!Merged.at("services").contains(Service))
    Faults.push_back({"/host/service", Json(Service).dump(),
                      "a service in /services",
                      "use the service of the local upstream"});
}

} // namespace

std::string toString(const SettingsFault &Fault) {
  return Fault.Path_ + ": found " + Fault.Found_ +
         "; allowed: " + Fault.Allowed_ + "; remedy: " + Fault.Remedy_;
}

std::vector<SettingsFault> checkSettings(const Json &Merged) {
  std::vector<SettingsFault> Faults = checkSchema(Merged);
  if (!Faults.empty())
    return Faults;
  checkHost(Merged, Faults);
  checkHostService(Merged, Faults);
  checkLease(Merged, Faults);
  checkPrefixes(Merged.at("services"), Faults);
  for (const auto &[Name, Service] : Merged.at("services").items()) {
    const std::string Path = "/services/" + Name;
    checkKey(Path, Service, Faults);
    checkRules(Path, Service, Faults);
  }
  return Faults;
}

} // namespace lagoonhitch
