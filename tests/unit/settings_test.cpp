/// \file
/// Tests that valid settings load and that faults name the invalid field.

#define BOOST_TEST_MODULE settings
#include "settings/host_settings.h"
#include "settings/rule_match.h"
#include "settings/settings_check.h"
#include "settings/settings_error.h"
#include "settings/settings_load.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

const char *ValidSettings = R"json({
  "site": "my-central",
  "zones": ["kv-a", "kv-b"],
  "store": "127.0.0.1:7100",
  "services": {
    "katalog": {
      "prefix": "/katalog", "placement": "divided", "shards": 240,
      "key": {"from": "path", "segment": 1},
      "rules": [
        {"method": "GET", "path": "/katalog/*", "execution": "repeatable"},
        {"method": "POST", "path": "/katalog/*/orders", "execution": "once"}
      ]
    },
    "pruf": {"prefix": "/pruf", "placement": "shared"}
  },
  "host": {
    "name": "h1", "zone": "kv-a", "service": "katalog",
    "upstream": "127.0.0.1:9", "callers": "127.0.0.1:1",
    "announce": "127.0.0.1:3", "peers": "127.0.0.1:2", "admin": "127.0.0.1:4"
  }
})json";

/// A merge patch that makes the valid settings invalid, and the JSON pointer of
/// the field that must be reported.
struct InvalidCase {
  const char *Patch_;
  const char *Path_;
};

std::ostream &operator<<(std::ostream &Out, const InvalidCase &Case) {
  return Out << Case.Patch_;
}

const InvalidCase InvalidCases[] = {
    {R"({"site": null})", "/"},
    {R"({"site": "My Site"})", "/site"},
    {R"({"site": 7})", "/site"},
    {R"({"zones": null})", "/"},
    {R"({"zones": []})", "/zones"},
    {R"({"zones": "kv-a"})", "/zones"},
    {R"({"zones": ["KV A"]})", "/zones/0"},
    {R"({"zones": ["kv-b"]})", "/host/zone"},
    {R"({"store": null})", "/"},
    {R"({"store": "log.example:7100"})", "/store"},
    {R"({"store": "127.0.0.1"})", "/store"},
    {R"({"services": null})", "/"},
    {R"({"services": {"katalog": null, "pruf": null}})", "/services"},
    {R"({"services": {"pruf": 1}})", "/services/pruf"},
    {R"({"services": {"pruf": {"prefix": null}}})", "/services/pruf"},
    {R"({"services": {"pruf": {"prefix": "pruf"}}})", "/services/pruf/prefix"},
    {R"({"services": {"pruf": {"prefix": "/katalog"}}})", "/prefix"},
    {R"({"services": {"pruf": {"placement": "both"}}})",
     "/services/pruf/placement"},
    {R"({"services": {"pruf": {"placement": null}}})", "/services/pruf"},
    {R"({"services": {"pruf": {"shards": 8}}})", "/services/pruf/shards"},
    {R"({"services": {"pruf": {"retries": 3}}})", "/services/pruf"},
    {R"({"services": {"pruf": {"internal": "yes"}}})",
     "/services/pruf/internal"},
    {R"({"services": {"katalog": {"shards": null}}})",
     "/services/katalog/shards"},
    {R"({"services": {"katalog": {"shards": 0}}})", "/services/katalog/shards"},
    {R"({"services": {"katalog": {"shards": 2.5}}})",
     "/services/katalog/shards"},
    {R"({"services": {"katalog": {"shards": 70000}}})",
     "/services/katalog/shards"},
    {R"({"services": {"katalog": {"key": null}}})", "/services/katalog/key"},
    {R"({"services": {"katalog": {"key": {"from": "cookie"}}}})",
     "/services/katalog/key/from"},
    {R"({"services": {"katalog": {"key": {"segment": null}}}})",
     "/services/katalog/key/segment"},
    {R"({"services": {"katalog": {"key": {"segment": 16}}}})",
     "/services/katalog/key/segment"},
    {R"({"services": {"katalog": {"key": {"from": "header"}}}})",
     "/services/katalog/key/name"},
    {R"({"services": {"katalog": {"rules": [{"method": "FETCH",
      "path": "/katalog/*", "execution": "once"}]}}})",
     "/services/katalog/rules/0/method"},
    {R"({"services": {"katalog": {"rules": [{"method": "GET",
      "path": "/katalog/*", "execution": "twice"}]}}})",
     "/services/katalog/rules/0/execution"},
    {R"({"services": {"katalog": {"rules": [{"method": "GET",
      "path": "/other/*", "execution": "once"}]}}})",
     "/services/katalog/rules/0/path"},
    {R"({"services": {"katalog": {"rules": [{"method": "GET",
      "path": "/katalog/*", "execution": "once", "deadline_ms": 0}]}}})",
     "/services/katalog/rules/0/deadline_ms"},
    {R"({"services": {"katalog": {"rules": [{"method": "GET",
      "path": "/katalog/*", "execution": "once", "deadline_s": 1}]}}})",
     "/services/katalog/rules/0"},
    {R"({"services": {"katalog": {"rules": [
      {"method": "GET", "path": "/katalog/*", "execution": "once"},
      {"method": "GET", "path": "/katalog/**", "execution": "once"}]}}})",
     "/services/katalog/rules/1"},
    {R"({"limits": {"lease_ms": 100}})", "/limits/lease_ms"},
    {R"({"limits": {"lease_ms": "1s"}})", "/limits/lease_ms"},
    {R"({"limits": {"lease_ms": 3000}})", "/limits/renew_ms"},
    {R"({"limits": {"suspect_ms": 100}})", "/limits/suspect_ms"},
    {R"({"limits": {"lease_ms": 4000, "hold_ms": 4000}})", "/limits/hold_ms"},
    {R"({"host": {"service": "other"}})", "/host/service"},
    {R"({"host": {"upstream": null}})", "/host"},
    {R"({"limits": {"moves": 4}})", "/limits"},
    {R"({"limits": {"body_bytes": 1}})", "/limits/body_bytes"},
    {R"({"limits": {"memory_mb": 0}})", "/limits/memory_mb"},
    {R"({"limits": {"max_fds": "x"}})", "/limits/max_fds"},
    {R"({"host": null})", "/"},
    {R"({"host": {"name": null}})", "/host"},
    {R"({"host": {"zone": "kv-z"}})", "/host/zone"},
    {R"({"host": {"callers": "127.0.0.1:70000"}})", "/host/callers"},
    {R"({"host": {"admin": "localhost:1"}})", "/host/admin"},
    {R"({"host": {"rack": "r1"}})", "/host"},
    {R"({"overlay": true})", "/"},
};

} // namespace

BOOST_AUTO_TEST_CASE(LoadsValidSettings) {
  const DaemonSettings Settings = parseSettings(Json::parse(ValidSettings));
  BOOST_REQUIRE(Settings.Services_.size() == 2U);
  BOOST_TEST(Settings.Services_[0].ShardCount_ == 240U);
  BOOST_TEST(Settings.Services_[0].Rules_[0].Idempotent_);
}

BOOST_DATA_TEST_CASE(ReportsTheInvalidField,
                     boost::unit_test::data::make(InvalidCases), Case) {
  Json Invalid = Json::parse(ValidSettings);
  Invalid.merge_patch(Json::parse(Case.Patch_));
  const std::vector<SettingsFault> Faults = checkSettings(Invalid);
  const bool Reported = std::any_of(
      Faults.begin(), Faults.end(), [&Case](const SettingsFault &Fault) {
        return std::string(Case.Path_) == "/prefix"
                   ? Fault.Path_.ends_with("/prefix")
                   : Fault.Path_ == Case.Path_;
      });
  for (const SettingsFault &Fault : Faults) {
    BOOST_TEST_MESSAGE(toString(Fault));
    BOOST_TEST(!Fault.Found_.empty());
    BOOST_TEST(!Fault.Allowed_.empty());
    BOOST_TEST(!Fault.Remedy_.empty());
  }
  BOOST_TEST(Reported);
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsAtOnce) {
  Json Invalid = Json::parse(ValidSettings);
  Invalid.merge_patch(Json::parse(
      R"({"host": {"zone": "kv-z"}, "services": {"katalog": {"key": null}}})"));
  BOOST_TEST(checkSettings(Invalid).size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReadsWhetherTheSiteStartsForTheFirstTime) {
  Json Host;
  for (const char *Name : {"host", "zone", "service", "upstream", "callers",
                           "ready", "announce", "peers", "admin", "store"})
    Host[Name] = "x";
  BOOST_TEST(!parseHostSettings(Host).FirstStart_);
  Host["first_start"] = true;
  BOOST_TEST(parseHostSettings(Host).FirstStart_);
  Host["first_start"] = "yes";
  BOOST_CHECK_THROW(parseHostSettings(Host), SettingsError);
}

/// Files of earlier versions have neither field, and a platform that does not
/// know a limit may give anything. The daemon must start nevertheless.
BOOST_AUTO_TEST_CASE(ReadsTheLimitsOfTheHost) {
  Json Host;
  for (const char *Name : {"host", "zone", "service", "upstream", "callers",
                           "ready", "announce", "peers", "admin", "store"})
    Host[Name] = "x";
  BOOST_TEST(parseHostSettings(Host).MemoryMegabytes_ == 160U);
  BOOST_TEST(parseHostSettings(Host).MaxDescriptors_ == 4100U);
  Host["memory_mb"] = 512;
  Host["max_fds"] = 8192;
  BOOST_TEST(parseHostSettings(Host).MemoryMegabytes_ == 512U);
  BOOST_TEST(parseHostSettings(Host).MaxDescriptors_ == 8192U);
  for (const Json &Unusable :
       {Json(), Json("512"), Json(0), Json(-1), Json(1e300), Json::array()}) {
    Host["memory_mb"] = Unusable;
    Host["max_fds"] = Unusable;
    BOOST_TEST(parseHostSettings(Host).MemoryMegabytes_ == 160U);
    BOOST_TEST(parseHostSettings(Host).MaxDescriptors_ == 4100U);
  }
  Json Own = Json::parse(ValidSettings);
  BOOST_TEST(parseSettings(Own).MemoryMegabytes_ == 160U);
  Own["limits"] = {{"memory_mb", 512}, {"max_fds", 8192}};
  BOOST_TEST(parseSettings(Own).MemoryMegabytes_ == 512U);
  BOOST_TEST(parseSettings(Own).MaxDescriptors_ == 8192U);
}

BOOST_AUTO_TEST_CASE(ThrowsForAMissingFile) {
  BOOST_CHECK_THROW(mergeSettings({"no-such-file.json", "", ""}),
                    SettingsError);
}

BOOST_AUTO_TEST_CASE(TreatsUnmatchedRequestsAsNonIdempotent) {
  const DaemonSettings Settings = parseSettings(Json::parse(ValidSettings));
  const ServiceSettings *Service =
      findService(Settings.Services_, "/katalog/k1?x=1");
  BOOST_REQUIRE(Service != nullptr);
  BOOST_TEST(findRule(*Service, "GET", "/katalog/k1?x=1").Idempotent_);
  BOOST_TEST(!findRule(*Service, "PUT", "/katalog/k1").Idempotent_);
  BOOST_TEST(findService(Settings.Services_, "/katalogue") == nullptr);
  BOOST_TEST(*keyFromTarget(*Service, "/katalog/k1/orders?x") == "k1");
}

} // namespace lagoonhitch
