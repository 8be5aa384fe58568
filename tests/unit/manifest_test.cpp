/// \file
/// Tests of routes, of the messages exchanged with the platform and of host
/// settings.

#define BOOST_TEST_MODULE manifest
#include "manifest/route_match.h"
#include "platform/platform_codec.h"
#include "settings/host_settings.h"
#include "settings/settings_error.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace lagoonhitch {

namespace {

const char *const ManifestText = R"({"version":"0000000c",
  "services":[{"name":"a","health-path":"/h","max-connections":130,
               "cold-start-s":3.0,"cold-per-s":17.0,"sharded":true,
               "warm-s":5.0,"grants":"direct"},
              {"name":"b","cold-per-s":2}],
  "limits":{"max-header-bytes":9000,"max-body-bytes":70000,
            "header-timeout-s":3,"idle-timeout-s":15},
  "virtual-hosts":[{"hostname":"x.example","paths":[
     {"name":"r1","path-prefix":"/p/","kind":"non_idempotent",
      "timeout-s":2.5,"target-latency-s":0.8,"priority":1,"service":"b",
      "attempts":2},
     {"name":"r2","path-prefix":"/p/q/","kind":"idempotent","timeout-s":2,
      "target-latency-s":0.6,"priority":2,"attempts":3,
      "weighted-clusters":[{"service":"a","weight":90},
                           {"service":"b","weight":10}]}]}],
  "unknown":{"field":1}})";

Manifest decodeTestManifest() {
  const std::optional<Manifest> Decoded = decodeManifest(ManifestText);
  BOOST_REQUIRE(Decoded.has_value());
  return *Decoded;
}

} // namespace

BOOST_AUTO_TEST_CASE(DecodesManifests) {
  const Manifest Decoded = decodeTestManifest();
  BOOST_TEST(Decoded.Version_ == 12U);
  BOOST_TEST(Decoded.Services_.at("a").Sharded_);
  BOOST_TEST(!Decoded.Services_.at("b").Sharded_);
  BOOST_TEST(Decoded.Services_.at("a").ColdRate_ == 17.0);
  BOOST_TEST(Decoded.Services_.at("a").ColdStartDuration_.count() == 3000);
  BOOST_TEST(Decoded.Limits_.MaxHeaderBytes_ == 9000U);
  BOOST_TEST(Decoded.Limits_.IdleTimeout_.count() == 15000);
}

BOOST_AUTO_TEST_CASE(MatchesTheLongestPrefixOfTheHostname) {
  const Manifest Decoded = decodeTestManifest();
  BOOST_TEST(findRoute(Decoded, "x.example", "/p/1")->Name_ == "r1");
  BOOST_TEST(findRoute(Decoded, "x.example:80", "/p/q/1?z=/p/")->Name_ == "r2");
  BOOST_TEST(findRoute(Decoded, "x.example", "/p") == nullptr);
  BOOST_TEST(findRoute(Decoded, "y.example", "/p/1") == nullptr);
  BOOST_TEST(!findRoute(Decoded, "x.example", "/p/1")->Idempotent_);
  BOOST_TEST(findRoute(Decoded, "x.example", "/p/q/")->Idempotent_);
}

BOOST_AUTO_TEST_CASE(SplitsRequestsByWeight) {
  const Manifest Decoded = decodeTestManifest();
  const Route &Matched = *findRoute(Decoded, "x.example", "/p/q/");
  std::map<std::string, int> Counts;
  for (std::uint64_t RandomValue = 0; RandomValue < 1000; ++RandomValue)
    ++Counts[pickService(Matched, RandomValue)];
  BOOST_TEST(Counts["a"] == 900);
  BOOST_TEST(Counts["b"] == 100);
}

BOOST_AUTO_TEST_CASE(RejectsMalformedManifests) {
  for (const char *Malformed :
       {"", "{", "[]", R"({"version":"zz","services":[],"virtual-hosts":[]})",
        R"({"version":12,"services":[],"virtual-hosts":[]})",
        R"({"version":"1","services":[{}],"virtual-hosts":[]})",
        R"({"version":"1","services":[],"virtual-hosts":[{"hostname":"h",
            "paths":[{"name":"r","path-prefix":"/","kind":"idempotent",
                      "timeout-s":1}]}]})"})
    BOOST_TEST(!decodeManifest(Malformed).has_value(), Malformed);
}

BOOST_AUTO_TEST_CASE(DecodesHowUpstreamsGetTheirKeys) {
  BOOST_TEST((decodeTestManifest().Services_.at("a").GrantMethod_ ==
              GrantMethod::Calls));
  std::string Text = ManifestText;
  const std::string Direct = R"("grants":"direct")";
  Text.replace(Text.find(Direct), Direct.size(), R"("grants":"heartbeat")");
  const std::optional<Manifest> Decoded = decodeManifest(Text);
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded->Services_.at("a").GrantMethod_ ==
              GrantMethod::HeartbeatReplies));
}

BOOST_AUTO_TEST_CASE(RejectsManifestsWithAnUnknownGrantMethod) {
  std::string Text = ManifestText;
  const std::string Direct = R"("grants":"direct")";
  Text.replace(Text.find(Direct), Direct.size(), R"("grants":"pigeon")");
  std::string Fault;
  BOOST_TEST(!decodeManifest(Text, &Fault).has_value());
  BOOST_TEST(Fault.find("\"pigeon\"") != std::string::npos);
  BOOST_TEST(Fault.find("\"heartbeat\"") != std::string::npos);
}

namespace {

std::optional<UpstreamHeartbeat> decodeWith(const std::string &Fields) {
  return decodeHeartbeat("i-1",
                         R"({"service":"s","address":"1.2.3.4:5","zone":"z",
                 "version":"v1","slots":18,"state":"ready","cold-left-s":0,
                 "sequence":4,"born":1773018966000)" +
                             Fields + "}");
}

} // namespace

BOOST_AUTO_TEST_CASE(DecodesTheKeysThatAnUpstreamReports) {
  const auto Heartbeat =
      decodeWith(R"(,"holds":[[0,4095,7]],"is-released":[[4096,8191,"5c0e"]])");
  BOOST_REQUIRE(Heartbeat.has_value());
  BOOST_REQUIRE(Heartbeat->Keys_.has_value());
  BOOST_TEST((Heartbeat->Keys_->Holds_[0].Range_ == KeyRange{0, 4095}));
  BOOST_TEST(Heartbeat->Keys_->Holds_[0].Fence_ == 7U);
  BOOST_TEST((Heartbeat->Keys_->Releases_[0].Range_ == KeyRange{4096, 8191}));
  BOOST_TEST(Heartbeat->Keys_->Releases_[0].Handover_ == "5c0e");
  BOOST_TEST(!decodeWith("")->Keys_.has_value());
  BOOST_TEST(decodeWith(R"(,"holds":[])")->Keys_.has_value());
}

BOOST_AUTO_TEST_CASE(RejectsHeartbeatsWithMalformedKeys) {
  for (const char *Malformed :
       {R"(,"holds":7)", R"(,"holds":[7])", R"(,"holds":[[0,1]])",
        R"(,"holds":[[9,1,7]])", R"(,"holds":[[0,65536,7]])",
        R"(,"holds":[[-1,5,7]])", R"(,"holds":[[0,1,"7"]])",
        R"(,"holds":[[0,1,7.5]])", R"(,"holds":[[0,1,-7]])",
        R"(,"holds":[[0,4294967297,7]])", R"(,"holds":null)",
        R"(,"holds":[],"is-released":[[0,1,2]])",
        R"(,"holds":[],"is-released":[[5,1,"h"]])",
        R"(,"holds":[],"is-released":{"a":1})"})
    BOOST_TEST(!decodeWith(Malformed).has_value(), Malformed);
  std::string Huge = ",\"holds\":[[0,1,2]";
  for (int Row = 0; Row < 5000; ++Row)
    Huge += ",[0,1,2]";
  BOOST_TEST(!decodeWith(Huge + "]").has_value());
}

BOOST_AUTO_TEST_CASE(EncodesRepliesToHeartbeats) {
  BOOST_TEST(encodeHeartbeatReply(std::nullopt) == "{}");
  HoldDeclaration Declaration;
  Declaration.Hold_ = std::chrono::milliseconds(3500);
  for (KeyId First = 0; First < 64; ++First) {
    KeyRow Row;
    Row.Range_ = {60000 + First, 60000 + First};
    Row.Fence_ = 4000000;
    Row.Handover_ = "5c0e7a21d94b36f8";
    Declaration.Rows_.push_back(Row);
  }
  const std::string Text = encodeHeartbeatReply(Declaration);
  const nlohmann::json Reply = nlohmann::json::parse(Text);
  BOOST_TEST(Reply.at("hold-s").get<double>() == 3.5);
  BOOST_TEST((Reply.at("holds").at(1) ==
              nlohmann::json({60001, 60001, 4000000, "5c0e7a21d94b36f8"})));
  BOOST_TEST(Text.size() <= 4096U);
}

BOOST_AUTO_TEST_CASE(DecodesHeartbeatsAndRejectsMalformedOnes) {
  const std::string Good =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1",
          "slots":18,"state":"draining","cold-left-s":1.5,"sequence":4,
          "born":1773018966000})";
  const std::optional<UpstreamHeartbeat> Heartbeat =
      decodeHeartbeat("i-1", Good);
  BOOST_REQUIRE(Heartbeat.has_value());
  BOOST_TEST(Heartbeat->Draining_);
  BOOST_TEST(Heartbeat->StartMillis_ == 1773018966000);
  BOOST_TEST(Heartbeat->ColdRemaining_.count() == 1500);
  for (const char *Malformed :
       {"", "7", R"({"service":"s"})",
        R"({"service":7,"address":"a","slots":1,"state":"ready","sequence":1})",
        R"({"service":"s","address":"a","slots":1,"state":"odd","sequence":1})",
        R"({"service":"s","address":"a","slots":"1","state":"ready",
            "sequence":1})"})
    BOOST_TEST(!decodeHeartbeat("i-1", Malformed).has_value(), Malformed);
}

BOOST_AUTO_TEST_CASE(ParsesUpstreamsAndZonesFromPaths) {
  BOOST_TEST(*upstreamFromPath("/instances/i-1") == "i-1");
  BOOST_TEST(!upstreamFromPath("/instances/").has_value());
  BOOST_TEST(!upstreamFromPath("/other").has_value());
  BOOST_TEST(*evacuatedZone("evacuate/kv-a") == "kv-a");
  BOOST_TEST(!evacuatedZone("config").has_value());
}

BOOST_AUTO_TEST_CASE(EncodesTheHoldOfAGrantInSeconds) {
  KeyRow Row;
  Row.Range_ = {4096, 8191};
  Row.Fence_ = 12;
  Row.Handover_ = "5c";
  const HttpRequest Grant = encodeGrant(Row, std::chrono::milliseconds(2500));
  const nlohmann::json Body = nlohmann::json::parse(Grant.Body_.text());
  BOOST_TEST(Body == nlohmann::json::parse(
                         R"({"from":4096,"to":8191,"fence":12,"hold-s":2.5,
                             "handover":"5c"})"));
  BOOST_TEST(Grant.Target_ == "/grant");
  BOOST_TEST(encodeRelease(Row).Target_ == "/release");
}

BOOST_AUTO_TEST_CASE(ReportsEveryFaultOfHostSettings) {
  nlohmann::json Source = {
      {"host", "h"},       {"zone", "z"},
      {"service", "s"},    {"upstream", "u:1"},
      {"callers", "c:1"},  {"ready", "r:1"},
      {"announce", "a:1"}, {"peers", "p:1"},
      {"admin", "m:1"},    {"store", "s:1"},
      {"memory_mb", 260},  {"bounds", {{"drain_s", 2.5}, {"stop_s", nullptr}}}};
  const DaemonSettings Settings = parseHostSettings(Source);
  BOOST_TEST(Settings.Bounds_.DrainTimeout_.count() == 2500);
  BOOST_TEST(Settings.Bounds_.StopTimeout_.count() == 6000);
  Source["zone"] = 7;
  Source.erase("store");
  Source["bounds"]["retry_ratio"] = -1;
  try {
    parseHostSettings(Source);
    BOOST_ERROR("no SettingsError was thrown");
  } catch (const SettingsError &Failure) {
    BOOST_TEST(Failure.faults().size() == 3U);
  }
}

} // namespace lagoonhitch
