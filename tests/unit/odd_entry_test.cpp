/// \file
/// Tests that one odd entry of another writer (nested very deeply, with numbers
/// or ports out of range) neither ends the process nor hides the entries
/// around it.

#define BOOST_TEST_MODULE odd_entry
#include "daemon/site_watcher.h"
#include "daemon/topic_follower.h"
#include "membership/member_record.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "observe/event_log.h"
#include "ownership/key_table.h"
#include "platform/monotonic_clock.h"
#include "platform/platform_codec.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

/// More levels than any reader needs, in an entry of about a megabyte.
constexpr std::size_t Levels = 500000;

std::string nested(const std::string &Open, const std::string &Close) {
  std::string Text;
  for (std::size_t Level = 0; Level < Levels; ++Level)
    Text += Open;
  Text += "1";
  for (std::size_t Level = 0; Level < Levels; ++Level)
    Text += Close;
  return Text;
}

std::string replace(std::string Text, const std::string &Old,
                    const std::string &New) {
  const std::size_t At = Text.find(Old);
  BOOST_REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

const std::string ValidHeartbeat =
    R"({"service":"s","address":"1.2.3.4:5","slots":18,"state":"ready",
        "cold-left-s":1.5,"sequence":4,"born":1773018966000,
        "holds":[[0,4095,7]],"is-released":[[4096,8191,"5c0e"]]})";

const std::string ValidManifest =
    R"({"version":"0000000c","services":[{"name":"a","cold-start-s":3.0,
        "cold-per-s":17.0,"max-connections":9}],
        "limits":{"max-header-bytes":9000,"idle-timeout-s":15},
        "virtual-hosts":[{"hostname":"x","paths":[{"name":"r",
        "path-prefix":"/p/","kind":"idempotent","timeout-s":2.5,
        "priority":1,"attempts":2,
        "weighted-clusters":[{"service":"a","weight":9}]}]}]})";

const std::string ValidMember =
    R"({"host":"h1","zone":"z","service":"s","peer":"127.0.0.1:1",
        "digest":"127.0.0.1:2","upstream":"u","born":1773018966000,
        "slots":18,"process":7,"state":"ready","crashes":[{"upstream":"u",
        "born":1773018966000,"at":1773018967000,"requests":["0a"]}]})";

const std::string ValidTable =
    R"({"owners":[["h1","u",1773018966000,3]],"rows":[[0,65535,0,9]]})";

bool acceptsHeartbeat(const std::string &Text) {
  return decodeHeartbeat("u", Text).has_value();
}

bool acceptsManifest(const std::string &Text) {
  return decodeManifest(Text).has_value();
}

bool acceptsMember(const std::string &Text) {
  return decodeMember(Text).has_value();
}

bool acceptsTable(const std::string &Text) {
  return decodeTable(Text, 9).has_value();
}

/// Checks that a decoder rejects a text in which a field has an odd value.
void checkRejected(bool (*Accepts)(const std::string &),
                   const std::string &Valid, const std::string &Field,
                   const std::vector<std::string> &Values) {
  const std::size_t Colon = Field.find(':');
  BOOST_TEST(Accepts(Valid));
  for (const std::string &Value : Values)
    BOOST_TEST(
        !Accepts(replace(Valid, Field, Field.substr(0, Colon + 1) + Value)),
        Field << " is accepted as " << Value);
}

/// Values where a count is expected.
const std::vector<std::string> NoCounts = {
    "-1", "3.7", "1e400", "1e300", "18446744073709551616", "\"5\"", "null"};
/// Values where a number of seconds is expected.
const std::vector<std::string> NoSeconds = {"1e300", "-1e300",
                                            "18446744073709551615", "1e400"};
/// Values where a time since the Unix epoch is expected.
const std::vector<std::string> NoTimes = {
    "-1", "3.7", "1e300", "9223372036854775807", "-9223372036854775808"};

/// Runs a loop for a time and counts what its handlers throw.
struct LoopFixture {
  LoopFixture() : Loop_([this](const std::exception &) { ++Failures_; }) {}

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  MonotonicClock Time_;
  int Failures_ = 0;
  IoLoop Loop_;
};

/// A store whose topics have one record each; further reads never end.
struct CountingStore : Store {
  explicit CountingStore(IoLoop &Loop) : Loop_(Loop) {}

  void append(const std::string &, const std::string &, const std::string &,
              std::optional<Offset>, AppendDone) override {}
  void appendEpoch(const std::string &, std::uint64_t, AppendDone) override {}
  ReadHandle read(const std::string &, Offset, milliseconds,
                  ReadDone) override {
    ++Reads_;
    return nullptr;
  }
  std::size_t receivedBytes(const ReadHandle &) const override { return 0; }
  void readNewest(const std::string &, ReadDone Done) override {
    ++Reads_;
    ReadReply Reply;
    Reply.Kind_ = ReadReply::Kind::Done;
    Reply.End_ = 1;
    Reply.Records_ = {Record_};
    Loop_.post([Done, Reply] { Done(Reply); });
  }

  IoLoop &Loop_;
  StoreRecord Record_ = {"k", "v", 0};
  int Reads_ = 0;
};

/// A store that answers each call with the same text.
struct FixedStore : LoopFixture {
  FixedStore()
      : Server_(Loop_, options(),
                [this](const HttpRequest &,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  HttpResponse Response;
                  Response.Status_ = Status_;
                  Response.Body_ = Body_;
                  Exchange->respond(Response);
                }),
        Client_(Loop_, Time_, HttpClientOptions()),
        Store_(
            Client_, Client_, Server_.address(), [] { return std::string(); },
            [](StoreEra, std::optional<StoreEra>) {}) {}

  static HttpServerOptions options() {
    HttpServerOptions Options;
    Options.Address_ = "127.0.0.1:0";
    return Options;
  }

  std::optional<AppendReply> append(unsigned Status, const std::string &Body) {
    Status_ = Status;
    Body_ = Body;
    std::optional<AppendReply> Result;
    Store_.append("t", "k", "v", std::nullopt,
                  [&Result](const AppendReply &Reply) { Result = Reply; });
    runFor(milliseconds(100));
    return Result;
  }

  std::optional<ReadReply> readNewest(const std::string &Body) {
    Status_ = 200;
    Body_ = Body;
    std::optional<ReadReply> Result;
    Store_.readNewest("t",
                      [&Result](const ReadReply &Reply) { Result = Reply; });
    runFor(milliseconds(300));
    return Result;
  }

  std::optional<ReadReply> read(const std::string &Body) {
    Status_ = 200;
    Body_ = Body;
    std::optional<ReadReply> Result;
    Store_.read("t", 5, milliseconds(0),
                [&Result](const ReadReply &Reply) { Result = Reply; });
    runFor(milliseconds(100));
    return Result;
  }

  unsigned Status_ = 200;
  std::string Body_;
  HttpServer Server_;
  HttpClient Client_;
  StoreClient Store_;
};

} // namespace

BOOST_AUTO_TEST_CASE(DeepRowsOfAHeartbeatEndTheProcess) {
  const std::string Row = "[0,4095,7]";
  BOOST_TEST(acceptsHeartbeat(ValidHeartbeat));
  for (const std::string &Deep : {nested("[", "]"), nested("{\"a\":", "}")})
    BOOST_TEST(!acceptsHeartbeat(
        replace(ValidHeartbeat, Row, "[" + Deep + ",4095,7]")));
}

BOOST_AUTO_TEST_CASE(DeepCrashesOfAMemberEndTheProcess) {
  BOOST_TEST(acceptsMember(ValidMember));
  for (const std::string &Deep : {nested("[", "]"), nested("{\"a\":", "}")})
    BOOST_TEST(!acceptsMember(
        replace(ValidMember, "\"crashes\":[", "\"crashes\":[" + Deep + ",")));
}

BOOST_AUTO_TEST_CASE(DeepManifestOrTableEndsTheProcess) {
  const std::string Deep = nested("[", "]");
  BOOST_TEST(!acceptsManifest(replace(ValidManifest, "\"limits\":{",
                                      "\"limits\":{\"x\":" + Deep + ",")));
  BOOST_TEST(!acceptsTable(replace(ValidTable, "[0,65535", "[" + Deep)));
}

BOOST_AUTO_TEST_CASE(OddNumberOfAHeartbeatIsTakenForAnother) {
  checkRejected(acceptsHeartbeat, ValidHeartbeat, "\"slots\":18", NoCounts);
  checkRejected(acceptsHeartbeat, ValidHeartbeat, "\"slots\":18",
                {"4294967296"});
  checkRejected(acceptsHeartbeat, ValidHeartbeat, "\"sequence\":4", NoCounts);
  BOOST_TEST(acceptsHeartbeat(
      replace(ValidHeartbeat, "\"slots\":18", "\"slots\":18.0")));
  checkRejected(acceptsHeartbeat, ValidHeartbeat, "\"cold-left-s\":1.5",
                NoSeconds);
  checkRejected(acceptsHeartbeat, ValidHeartbeat, "\"born\":1773018966000",
                NoTimes);
}

BOOST_AUTO_TEST_CASE(OddNumberOfAMemberIsTakenForAnother) {
  checkRejected(acceptsMember, ValidMember, "\"slots\":18", NoCounts);
  checkRejected(acceptsMember, ValidMember, "\"process\":7", NoCounts);
  checkRejected(acceptsMember, ValidMember, "\"born\":1773018966000", NoTimes);
  checkRejected(acceptsMember, ValidMember, "\"at\":1773018967000", NoTimes);
}

BOOST_AUTO_TEST_CASE(MemberWithAnOddPortIsAccepted) {
  const std::vector<std::string> Odd = {"\"127.0.0.1:0\"",
                                        "\"127.0.0.1:65536\"",
                                        "\"127.0.0.1:99999\"",
                                        "\"127.0.0.1:-1\"",
                                        "\"127.0.0.1:abc\"",
                                        "\"127.0.0.1:\"",
                                        "\":80\"",
                                        "\"127.0.0.1\"",
                                        "\"127.0.0.1:1" +
                                            std::string(1000, '0') + "\""};
  checkRejected(acceptsMember, ValidMember, R"("peer":"127.0.0.1:1")", Odd);
  checkRejected(acceptsMember, ValidMember, R"("digest":"127.0.0.1:2")", Odd);
}

BOOST_AUTO_TEST_CASE(OddNumberOfATableIsTakenForAnother) {
  for (const std::string Value :
       {"-1", "3.7", "18446744073709551616", "1e300"}) {
    BOOST_TEST(
        !acceptsTable(replace(ValidTable, "[0,65535", "[" + Value + ",65535")));
    BOOST_TEST(!acceptsTable(replace(ValidTable, "0,9]", Value + ",9]")));
    BOOST_TEST(!acceptsTable(replace(ValidTable, "0,9]", "0," + Value + "]")));
    BOOST_TEST(!acceptsTable(
        replace(ValidTable, "1773018966000,3", "1773018966000," + Value)));
  }
  BOOST_TEST(acceptsTable(ValidTable));
}

BOOST_AUTO_TEST_CASE(OddNumberOfAManifestIsTakenForAnother) {
  for (const char *Field :
       {"\"attempts\":2", "\"priority\":1", "\"weight\":9",
        "\"max-header-bytes\":9000", "\"max-connections\":9"})
    checkRejected(acceptsManifest, ValidManifest, Field, NoCounts);
  for (const char *Field :
       {"\"timeout-s\":2.5", "\"idle-timeout-s\":15", "\"cold-start-s\":3.0"})
    checkRejected(acceptsManifest, ValidManifest, Field, NoSeconds);
}

BOOST_AUTO_TEST_CASE(BytesThatAreNotTextStopTheirLogLine) {
  const MonotonicClock Time;
  EventLog Events(Time, "h1");
  const nlohmann::json Details = {{"subject", "k\xff"}};
  BOOST_CHECK_NO_THROW(Events.write(EventId::RecordUnreadable, Details));
}

BOOST_AUTO_TEST_CASE(HandlerThatThrowsEndsTheFollowing) {
  for (const FollowMode Mode : {FollowMode::LongPoll, FollowMode::Pushed}) {
    LoopFixture Fixture;
    CountingStore Source(Fixture.Loop_);
    TopicFollower Follower(
        Fixture.Loop_, Fixture.Time_, Source, "t", Mode,
        [](const std::vector<StoreRecord> &Records, RecordSet) {
          if (!Records.empty())
            throw std::runtime_error("odd entry");
        });
    Follower.start();
    Fixture.runFor(milliseconds(50));
    Follower.hintEnd(2);
    Fixture.runFor(milliseconds(400));
    // The first read, and that after it.
    BOOST_TEST(Source.Reads_ >= 2);
    BOOST_TEST(Fixture.Failures_ >= 1);
  }
}

/// The reason for the rejection quotes the bytes.
BOOST_AUTO_TEST_CASE(ManifestThatIsNotTextEndsTheFollowing) {
  LoopFixture Fixture;
  EventLog Events(Fixture.Time_, "h1");
  CountingStore Source(Fixture.Loop_);
  Source.Record_ = {ManifestKey, "{\"version\":\"\xff\"}", 0};
  SiteState Site;
  SiteCallbacks Callbacks;
  std::vector<EventId> Logged;
  Callbacks.LogEvent_ = [&](EventId Id, const std::string &Subject) {
    Logged.push_back(Id);
    Events.write(Id, {{"subject", Subject}});
  };
  Callbacks.OnChanged_ = [] {};
  SiteWatcher Watcher(Fixture.Loop_, Fixture.Time_, Source, Site, "h1",
                      Callbacks);
  Watcher.start();
  Fixture.runFor(milliseconds(50));
  BOOST_TEST(
      std::count(Logged.begin(), Logged.end(), EventId::ConfigUnreadable) == 1);
  BOOST_TEST(Fixture.Failures_ == 0);
}

/// A name that is not text can't be written into a member record.
BOOST_AUTO_TEST_CASE(UpstreamWhoseNameIsNotTextIsAccepted) {
  BOOST_TEST(decodeHeartbeat("i-1", ValidHeartbeat).has_value());
  for (const std::string &Name : {std::string("i\xff"), std::string("i\x01"),
                                  std::string(), std::string(10000, 'i')})
    BOOST_TEST(!decodeHeartbeat(Name, ValidHeartbeat).has_value());
}

BOOST_AUTO_TEST_CASE(AppendReplyOfOddTypesIsNeverReported) {
  FixedStore Fixture;
  for (const std::string Value :
       {"\"5\"", "[]", "-1", "3.7", "null", "1e300", "{}"}) {
    const auto Done = Fixture.append(200, "{\"offset\":" + Value + "}");
    BOOST_REQUIRE_MESSAGE(Done.has_value(), "no reply for " << Value);
    // The record was appended, but where is not known.
    BOOST_TEST((Done->Kind_ == AppendReply::Kind::Unknown));
    const auto Conflict = Fixture.append(412, "{\"end\":" + Value + "}");
    BOOST_REQUIRE(Conflict.has_value());
    BOOST_TEST((Conflict->Kind_ == AppendReply::Kind::Conflict));
    BOOST_TEST(Conflict->End_ == 0U);
  }
  for (const char *Text : {"", "{}", "{\"end\":7}", "not JSON"}) {
    const auto Done = Fixture.append(200, Text);
    BOOST_REQUIRE(Done.has_value());
    BOOST_TEST((Done->Kind_ == AppendReply::Kind::Unknown));
  }
  BOOST_TEST(Fixture.Failures_ == 0);
}

BOOST_AUTO_TEST_CASE(OddItemHidesTheOthersOfItsPage) {
  FixedStore Fixture;
  const std::string Good = R"({"key":"a","offset":3,"value":"djE="})";
  for (const std::string &Odd :
       {std::string("7"), std::string(R"({"key":5,"offset":3,"value":""})"),
        std::string(R"({"key":"b","offset":-1,"value":""})"),
        std::string(R"({"key":"b","offset":1e300,"value":""})"),
        std::string(R"({"key":"b","offset":3,"value":[]})")}) {
    std::string Page = R"({"end":9,"items":[)";
    Page += Odd;
    Page += "," + Good + "]}";
    const auto Reply = Fixture.readNewest(Page);
    BOOST_REQUIRE(Reply.has_value());
    BOOST_TEST((Reply->Kind_ == ReadReply::Kind::Done), "failed for " << Odd);
    BOOST_REQUIRE(Reply->Records_.size() == 1U);
    BOOST_TEST(Reply->Records_[0].Value_ == "v1");
  }
  const auto Deep =
      Fixture.readNewest(R"({"end":9,"items":[)" + nested("[", "]") + "]}");
  BOOST_REQUIRE(Deep.has_value());
  BOOST_TEST((Deep->Kind_ == ReadReply::Kind::Failed));
}

/// Two numbers, then records after their lengths in four bytes each.
BOOST_AUTO_TEST_CASE(RecordWithAHugeLengthIsReadBeyondTheReply) {
  FixedStore Fixture;
  const std::string Head(16, '\0');
  const std::string Good("\0\0\0\4\1kv1", 8);
  const auto Reply = Fixture.read(Head + Good + "\xff\xff\xff\xff" + Good);
  BOOST_REQUIRE(Reply.has_value());
  BOOST_REQUIRE(Reply->Records_.size() == 1U);
  BOOST_TEST(Reply->Records_[0].Value_ == "v1");
  BOOST_TEST(Reply->End_ == 6U);
}

} // namespace lagoonhitch
