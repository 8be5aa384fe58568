/// \file
/// Tests the check of a manifest before it is published.

#define BOOST_TEST_MODULE manifest_check
#include "cli/commands.h"
#include "cli/manifest_command.h"
#include "core/error.h"
#include "manifest/manifest_check.h"
#include "manifest/manifest_difference.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using Severity = ManifestFinding::Severity;

Route makeRoute(const std::string &Name, const std::string &Prefix) {
  Route Made;
  Made.Name_ = Name;
  Made.Hostname_ = "x.example";
  Made.Prefix_ = Prefix;
  Made.Targets_ = {{"a", 1}};
  return Made;
}

/// Returns a manifest without findings.
Manifest makeManifest() {
  Manifest Made;
  Made.Version_ = 7;
  Made.Services_["a"].Name_ = "a";
  Made.Services_["b"].Name_ = "b";
  Made.Services_["b"].Sharded_ = true;
  Made.Services_["b"].WarmUpDuration_ = milliseconds(5000);
  Made.Routes_ = {makeRoute("r1", "/p/"), makeRoute("r2", "/p/q/")};
  Made.Routes_[1].Targets_ = {{"a", 9}, {"b", 1}};
  sortRoutes(Made);
  return Made;
}

/// A change that a check must find.
struct Mistake {
  const char *Name_;
  Severity Severity_;
  /// Part of the place and of the message.
  const char *Place_;
  const char *Message_;
  std::function<void(Manifest &)> Make_;
};

std::ostream &operator<<(std::ostream &Out, const Mistake &Made) {
  return Out << Made.Name_;
}

std::vector<Mistake> mistakes() {
  return {
      {"shadowed route", Severity::Error, "r3", "never matches",
       [](Manifest &M) { M.Routes_.push_back(makeRoute("r3", "/p/")); }},
      {"port in hostname", Severity::Error, "r2", "never matches",
       [](Manifest &M) { M.Routes_[0].Hostname_ = "x.example:80"; }},
      {"prefix without slash", Severity::Error, "r2", "slash",
       [](Manifest &M) { M.Routes_[0].Prefix_ = "/p/q"; }},
      {"prefix with query", Severity::Error, "r2", "query",
       [](Manifest &M) { M.Routes_[0].Prefix_ = "/p?q/"; }},
      {"unknown service", Severity::Error, "r2", "\"c\"",
       [](Manifest &M) { M.Routes_[0].Targets_[0].Service_ = "c"; }},
      {"weight 0", Severity::Warning, "r2", "sends nothing",
       [](Manifest &M) { M.Routes_[0].Targets_[1].Weight_ = 0; }},
      {"only weights 0", Severity::Error, "r2", "all weights are 0",
       [](Manifest &M) {
         M.Routes_[0].Targets_ = {{"a", 0}, {"b", 0}};
       }},
      {"service named twice", Severity::Warning, "r2", "twice",
       [](Manifest &M) { M.Routes_[0].Targets_[1].Service_ = "a"; }},
      {"objective above timeout", Severity::Error, "r2", "longer",
       [](Manifest &M) { M.Routes_[0].Timeout_ = milliseconds(999); }},
      {"no timeout", Severity::Error, "r2", "rejects all",
       [](Manifest &M) { M.Routes_[0].Timeout_ = milliseconds(0); }},
      {"no attempt", Severity::Error, "r2", "no attempt",
       [](Manifest &M) { M.Routes_[0].MaxAttempts_ = 0; }},
      {"ranks against objectives", Severity::Warning, "r1", "waits behind",
       [](Manifest &M) {
         M.Routes_[1].Priority_ = 1;
         M.Routes_[1].Objective_ = milliseconds(200);
       }},
      {"longer than idle", Severity::Warning, "r2", "idle",
       [](Manifest &M) { M.Limits_.IdleTimeout_ = milliseconds(4000); }},
      {"no body", Severity::Error, "limits", "size of bodies",
       [](Manifest &M) { M.Limits_.MaxBodyBytes_ = 0; }},
      {"unused service", Severity::Warning, "\"c\"", "no route",
       [](Manifest &M) { M.Services_["c"].Name_ = "c"; }},
      {"no connection", Severity::Error, "\"a\"", "no connection",
       [](Manifest &M) { M.Services_["a"].MaxConnections_ = 0; }},
      {"cold without rate", Severity::Warning, "\"a\"", "no rate",
       [](Manifest &M) {
         M.Services_["a"].ColdStartDuration_ = milliseconds(3000);
       }},
      {"keys without shards", Severity::Warning, "\"a\"", "not sharded",
       [](Manifest &M) {
         M.Services_["a"].WarmUpDuration_ = milliseconds(5000);
       }},
  };
}

/// A file that is removed at the end of the test.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Text) {
    Name_ = (std::filesystem::temp_directory_path() / "lagoonhitch-XXXXXX");
    const int Descriptor = mkstemp(Name_.data());
    BOOST_REQUIRE(Descriptor >= 0);
    std::ofstream(Name_) << Text;
  }
  ~TemporaryFile() { std::filesystem::remove(Name_); }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;

  const std::string &name() const { return Name_; }

private:
  std::string Name_;
};

std::string manifestText(const std::string &Version,
                         const std::string &Timeout) {
  return R"({"version":")" + Version +
         R"(","services":[{"name":"a"}],"virtual-hosts":[{"hostname":"h",
         "paths":[{"name":"r","path-prefix":"/p/","kind":"idempotent",
         "timeout-s":)" +
         Timeout +
         R"(,"target-latency-s":0.5,"priority":1,"service":"a",
         "attempts":2}]}]})";
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidManifestHasFindings) {
  BOOST_TEST(checkManifest(makeManifest()).empty());
}

BOOST_DATA_TEST_CASE(MistakeIsNotFound,
                     boost::unit_test::data::make(mistakes()), Made) {
  Manifest Checked = makeManifest();
  Made.Make_(Checked);
  const std::vector<ManifestFinding> Found = checkManifest(Checked);
  const bool IsFound =
      std::any_of(Found.begin(), Found.end(), [&](const auto &Finding) {
        return Finding.Severity_ == Made.Severity_ &&
               Finding.Place_.find(Made.Place_) != std::string::npos &&
               Finding.Message_.find(Made.Message_) != std::string::npos &&
               !Finding.Remedy_.empty();
      });
  BOOST_TEST(IsFound);
}

BOOST_AUTO_TEST_CASE(DifferencesAreMissed) {
  const Manifest Before = makeManifest();
  Manifest After = Before;
  BOOST_TEST(compareManifests(Before, After).empty());
  After.Routes_[0].Timeout_ = milliseconds(700);
  After.Routes_.push_back(makeRoute("r3", "/z/"));
  After.Services_.erase("b");
  After.Limits_.MaxBodyBytes_ = 5;
  const std::vector<ManifestDifference> Found = compareManifests(Before, After);
  BOOST_REQUIRE(Found.size() == 4U);
  BOOST_TEST(Found[0].Place_ == "service b");
  BOOST_TEST((Found[0].Kind_ == ManifestDifference::Kind::Removed));
  BOOST_TEST(Found[1].Place_ == "route x.example/p/q/, timeout");
  BOOST_TEST(Found[1].Before_ == "5000 ms");
  BOOST_TEST(Found[1].After_ == "700 ms");
  BOOST_TEST(Found[2].Place_ == "route x.example/z/");
  BOOST_TEST((Found[2].Kind_ == ManifestDifference::Kind::Added));
  BOOST_TEST(Found[3].Place_ == "limits, body bytes");
}

BOOST_AUTO_TEST_CASE(OldVersionIsAccepted) {
  Manifest Next = makeManifest();
  BOOST_REQUIRE(checkSuccession(makeManifest(), Next).size() == 1U);
  BOOST_TEST(
      (checkSuccession(makeManifest(), Next)[0].Severity_ == Severity::Error));
  Next.Version_ = 8;
  BOOST_TEST(checkSuccession(makeManifest(), Next).empty());
  Next.Services_["a"].Sharded_ = true;
  BOOST_TEST(checkSuccession(makeManifest(), Next).size() == 1U);
}

BOOST_AUTO_TEST_CASE(CommandReturnsTheWrongCode) {
  const TemporaryFile InForce(manifestText("00000007", "2"));
  const TemporaryFile Next(manifestText("00000008", "1.5"));
  const TemporaryFile Contradicting(manifestText("00000009", "0.4"));
  const TemporaryFile Malformed("{\"version\":7}");
  std::ostringstream Out;
  BOOST_TEST(runManifestCheck({Next.name(), InForce.name(), false}, Out) ==
             ExitSuccess);
  BOOST_TEST(Out.str() == "changed: route h/p/, timeout: 2000 ms -> 1500 ms\n"
                          "the manifest is valid\n");
  BOOST_TEST(runManifestCheck({InForce.name(), Next.name(), false}, Out) ==
             ExitFailed);
  BOOST_TEST(runManifestCheck({Contradicting.name(), "", false}, Out) ==
             ExitFailed);
  BOOST_TEST(runManifestCheck({Malformed.name(), "", false}, Out) ==
             ExitFailed);
  BOOST_CHECK_THROW(runManifestCheck({"/nowhere", "", false}, Out), Error);
  BOOST_CHECK_THROW(
      runManifestCheck({Next.name(), Malformed.name(), false}, Out), Error);
}

BOOST_AUTO_TEST_CASE(CommandPrintsOtherThanJson) {
  const TemporaryFile InForce(manifestText("00000007", "2"));
  const TemporaryFile Next(manifestText("00000007", "0.4"));
  std::ostringstream Out;
  BOOST_TEST(runManifestCheck({Next.name(), InForce.name(), true}, Out) ==
             ExitFailed);
  const nlohmann::json Printed = nlohmann::json::parse(Out.str());
  BOOST_TEST(Printed.at("findings").size() == 2U);
  BOOST_TEST(Printed.at("findings")[0].at("severity") == "error");
  BOOST_TEST(Printed.at("differences").size() == 1U);
  BOOST_TEST(Printed.at("differences")[0].at("after") == "400 ms");
}

} // namespace lagoonhitch
