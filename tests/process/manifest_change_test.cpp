/// \file
/// Tests that a change of the manifest costs callers no response: requests that
/// run or arrive beside it get a complete one, and connections that were idle
/// before it follow the new limits.

#define BOOST_TEST_MODULE manifest_change
#include "net/address.h"
#include "tests/process/run_files.h"
#include "tests/process/site_fixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/wait.h>
#include <vector>

namespace http = boost::beast::http;

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host of the service that is not sharded. Callers use its daemon, which
/// passes a part of their requests to its own upstream.
constexpr std::uint32_t EntryHost = 1;
constexpr std::size_t ConnectionCount = 50;
constexpr milliseconds IdleTimeout{4000};
/// How long connections are idle before a change.
constexpr milliseconds IdleTime{3100};
/// How long the daemon stands still: past the idle timeout.
constexpr milliseconds Pause{1500};
/// As long as the response to a request that runs during a change takes.
constexpr std::uint32_t LongServiceTimeMicros = 1000000;
/// Requests that the upstreams of both hosts run at a time.
constexpr std::size_t RunningCount = 20;
constexpr seconds ResponseTimeout{8};
constexpr unsigned HttpOk = 200;

Json path(const char *Name, const char *Prefix, const char *Kind,
          const char *Service) {
  return {{"name", Name},       {"path-prefix", Prefix}, {"kind", Kind},
          {"service", Service}, {"timeout-s", 3},        {"attempts", 2}};
}

Json firstManifest() {
  const Json Paths = {path("reads", "/reads/", "idempotent", "pruf"),
                      path("writes", "/writes/", "non_idempotent", "pruf"),
                      path("shards", "/shards/", "idempotent", "katalog")};
  return {{"version", "10"},
          {"services",
           {{{"name", "katalog"}, {"sharded", true}}, {{"name", "pruf"}}}},
          {"virtual-hosts", {{{"hostname", "site"}, {"paths", Paths}}}},
          {"limits", {{"idle-timeout-s", IdleTimeout.count() / 1000}}}};
}

/// What a caller received for a request.
struct CallResult {
  /// The status of a complete response; 0 if there was none.
  unsigned Status_ = 0;
  std::string RequestId_;
  std::string Upstream_;
  /// Why there was no complete response.
  std::string Error_;
};

std::string describe(const CallResult &Result) {
  return Result.Status_ == 0 ? "no complete response: " + Result.Error_
                             : std::to_string(Result.Status_);
}

/// Returns whether a request was rejected because its route is gone, or for a
/// while.
bool isRejection(const CallResult &Result) {
  return Result.Status_ == 404 || Result.Status_ == 503;
}

/// A caller's connection, which is kept between requests.
class Connection {
public:
  Connection(const std::string &Address, std::string Name)
      : Stream_(Context_), Name_(std::move(Name)) {
    Stream_.socket().connect(parseEndpoint(Address));
  }

  /// Sends a whole request.
  void send(const std::string &Target, std::size_t HeaderBytes = 0,
            std::size_t BodyBytes = 0) {
    Id_ = Name_ + "-" + std::to_string(++Requests_);
    const std::string Text =
        "POST " + Target + " HTTP/1.1\r\nHost: site\r\nX-Request-Id: " + Id_ +
        "\r\nX-Call: " + Id_ +
        "\r\nX-Shard-Key: 7\r\nX-Filler: " + std::string(HeaderBytes, 'a') +
        "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
        std::string(BodyBytes, 'b');
    boost::system::error_code Failure;
    boost::asio::write(Stream_.socket(), boost::asio::buffer(Text), Failure);
    SendError_ = Failure ? Failure.message() : std::string();
  }

  /// Waits for the response to the request that was sent last.
  CallResult receive() {
    http::response_parser<http::string_body> Parser;
    boost::system::error_code Failure;
    Stream_.expires_after(ResponseTimeout);
    http::async_read(Stream_, Buffer_, Parser,
                     [&Failure](boost::system::error_code Result, std::size_t) {
                       Failure = Result;
                     });
    Context_.restart();
    Context_.run();
    Stream_.expires_never();
    CallResult Result;
    if (Failure) {
      Result.Error_ = Failure.message() + " " + SendError_;
      return Result;
    }
    const http::response<http::string_body> &Response = Parser.get();
    Result.Status_ = Response.result_int();
    Result.RequestId_ = std::string(Response["X-Request-Id"]);
    Result.Upstream_ = std::string(Response["X-Instance-Id"]);
    return Result;
  }

  /// Returns the ID of the request that was sent last.
  const std::string &id() const { return Id_; }

private:
  boost::asio::io_context Context_;
  boost::beast::tcp_stream Stream_;
  boost::beast::flat_buffer Buffer_;
  std::string Name_;
  std::string Id_;
  std::string SendError_;
  std::uint64_t Requests_ = 0;
};

/// A site whose manifest changes, and kept connections of callers.
struct ChangingSite {
  explicit ChangingSite(Json First = firstManifest())
      : Manifest_(std::move(First)), Fixture_(options(Manifest_)) {}

  static SiteOptions options(const Json &Manifest) {
    SiteOptions Options;
    Options.Hosts_ = 4;
    Options.Manifest_ = Manifest;
    return Options;
  }

  /// Opens connections and sends one request on each.
  void connect(std::size_t Count = ConnectionCount) {
    while (Connections_.size() < Count)
      Connections_.push_back(std::make_unique<Connection>(
          Fixture_.Site_.callersAddress(EntryHost),
          "c" + std::to_string(Connections_.size())));
    IdleSince_ = Fixture_.Time_.now();
    sendAll();
    checkAllRan();
  }

  /// Sends requests to routes that are idempotent and not in turn.
  void sendAll() {
    for (std::size_t Index = 0; Index < Connections_.size(); ++Index)
      Connections_[Index]->send(Index % 2 == 0 ? "/reads/r" : "/writes/w");
  }

  /// Waits until the connections have been idle for a time.
  void idleFor(milliseconds Span) const {
    const Duration Left = IdleSince_ + Span - Fixture_.Time_.now();
    sleepFor(std::max(toMillis(Left), milliseconds(0)));
  }

  void publish(const char *Version) {
    Manifest_["version"] = Version;
    BOOST_REQUIRE(Fixture_.Site_.publishManifest(Manifest_.dump()));
  }

  /// Publishes a manifest and waits until all daemons use it.
  void apply(const char *Version) {
    publish(Version);
    const std::uint64_t Number = std::stoull(Version, nullptr, 16);
    for (std::uint32_t Host = 0; Host < Fixture_.Site_.hosts(); ++Host)
      awaitVersion(Host, Number);
  }

  void awaitVersion(std::uint32_t Host, std::uint64_t Version) const {
    const Instant End = Fixture_.Time_.now() + seconds(3);
    while (Fixture_.Site_.status(Host).value("configuration", 0U) != Version) {
      BOOST_REQUIRE((Fixture_.Time_.now() < End));
      sleepFor(milliseconds(5));
    }
  }

  /// Calls a function while the entry daemon stands still.
  void whileSuspended(milliseconds Span, const std::function<void()> &Call) {
    Fixture_.Site_.daemon(EntryHost).signal(SIGSTOP);
    int State = 0;
    waitpid(Fixture_.Site_.daemon(EntryHost).id(), &State, WUNTRACED);
    BOOST_REQUIRE(WIFSTOPPED(State));
    const Instant End = Fixture_.Time_.now() + Span;
    Call();
    sleepFor(std::max(toMillis(End - Fixture_.Time_.now()), milliseconds(0)));
    Fixture_.Site_.daemon(EntryHost).signal(SIGCONT);
  }

  /// Checks that each connection gets the response of an upstream to its
  /// request.
  void checkAllRan() {
    for (const std::unique_ptr<Connection> &Caller : Connections_)
      checkRan(*Caller, Caller->receive());
  }

  static void checkRan(const Connection &Caller, const CallResult &Result) {
    const bool Ran = Result.Status_ == HttpOk && !Result.Upstream_.empty();
    BOOST_TEST(Ran, Caller.id() << ": " << describe(Result));
    BOOST_TEST((!Ran || Result.RequestId_ == Caller.id()));
  }

  /// Checks that each connection gets the response of an upstream, or a
  /// rejection of a request that has not run.
  void checkAllAnswered() {
    std::vector<std::string> Rejected;
    for (const std::unique_ptr<Connection> &Caller : Connections_) {
      const CallResult Result = Caller->receive();
      if (isRejection(Result))
        Rejected.push_back(Caller->id());
      else
        checkRan(*Caller, Result);
    }
    checkNotRun(Rejected);
    BOOST_TEST_MESSAGE(Rejected.size() << " rejected");
  }

  void checkNotRun(const std::vector<std::string> &Rejected) const {
    History Events;
    addRuns(Fixture_.Site_.runFiles(), Events);
    for (const History::Run &Run : Events.Runs_)
      BOOST_TEST(std::count(Rejected.begin(), Rejected.end(), Run.Call_) == 0,
                 Run.Call_ << " was rejected, but has run");
  }

  /// Returns the routes of the manifest.
  Json &paths() { return Manifest_["virtual-hosts"][0]["paths"]; }

  Json Manifest_;
  SiteFixture Fixture_;
  std::vector<std::unique_ptr<Connection>> Connections_;
  /// When the last requests before the connections became idle were sent.
  Instant IdleSince_;
};

/// Changes the manifest while connections are idle, and suspends the daemon
/// past their idle timeout while requests arrive.
///
/// \param IsAppliedBefore whether the daemon applies the manifest before.
void suspendPastIdleTimeout(bool IsAppliedBefore) {
  ChangingSite Site;
  Site.connect();
  Site.idleFor(IdleTime - milliseconds(400));
  Site.paths()[2]["timeout-s"] = 2;
  if (IsAppliedBefore)
    Site.apply("11");
  Site.idleFor(IdleTime);
  BOOST_REQUIRE((Site.Fixture_.Time_.now() - Site.IdleSince_ < IdleTimeout));
  Site.whileSuspended(Pause, [&Site, IsAppliedBefore] {
    if (!IsAppliedBefore)
      Site.publish("11");
    Site.sendAll();
  });
  Site.checkAllAnswered();
}

/// Changes the manifest while requests run, and checks that they get the
/// responses of the upstreams that run them.
void changeDuringRuns(const std::function<void(Json &Paths)> &Change) {
  ChangingSite Site;
  Site.connect(RunningCount);
  for (std::uint32_t Host = 0; Host < Site.Fixture_.Site_.hosts(); ++Host)
    Site.Fixture_.Site_.setUpstreamMode(
        Host, {{"service_us", LongServiceTimeMicros}});
  const Instant SentAt = Site.Fixture_.Time_.now();
  Site.sendAll();
  sleepFor(milliseconds(200));
  Change(Site.paths());
  Site.apply("11");
  BOOST_TEST((Site.Fixture_.Time_.now() - SentAt <
              std::chrono::microseconds(LongServiceTimeMicros)));
  for (const std::unique_ptr<Connection> &Caller : Site.Connections_) {
    const CallResult Result = Caller->receive();
    ChangingSite::checkRan(*Caller, Result);
    BOOST_TEST(Result.Upstream_.starts_with("pruf"));
  }
}

} // namespace

/// Callers saw their connection closed without a response.
BOOST_AUTO_TEST_CASE(LateDaemonClosesIdleConnectionsWhoseRequestsHaveArrived) {
  suspendPastIdleTimeout(true);
}

BOOST_AUTO_TEST_CASE(LateDaemonReadsAManifestAndClosesConnectionsWithRequests) {
  suspendPastIdleTimeout(false);
}

BOOST_AUTO_TEST_CASE(LowerTimeoutOfARouteCutsItsRequests) {
  changeDuringRuns([](Json &Paths) {
    for (Json &Route : Paths)
      Route["timeout-s"] = 0.3;
  });
}

BOOST_AUTO_TEST_CASE(RemovalOfARouteCutsItsRequests) {
  changeDuringRuns([](Json &Paths) { Paths = Json({Paths[2]}); });
}

BOOST_AUTO_TEST_CASE(RemovalOfARouteCutsRequestsThatHaveArrived) {
  ChangingSite Site;
  Site.connect();
  Site.paths() = Json({Site.paths()[0]});
  Site.whileSuspended(milliseconds(300), [&Site] {
    Site.publish("11");
    Site.sendAll();
  });
  Site.checkAllAnswered();
}

BOOST_AUTO_TEST_CASE(MoveOfARouteToAnotherServiceCutsItsRequests) {
  changeDuringRuns([](Json &Paths) {
    for (Json &Route : Paths)
      Route["service"] = "katalog";
  });
}

BOOST_AUTO_TEST_CASE(LowerIdleTimeoutCutsRequestsThatHaveArrived) {
  ChangingSite Site;
  Site.connect();
  Site.idleFor(milliseconds(1500));
  Site.Manifest_["limits"]["idle-timeout-s"] = 1;
  Site.whileSuspended(milliseconds(500), [&Site] {
    Site.publish("11");
    Site.sendAll();
  });
  Site.checkAllAnswered();
}

BOOST_AUTO_TEST_CASE(HigherIdleTimeoutDoesNotApplyToIdleConnections) {
  ChangingSite Site;
  Site.connect();
  Site.idleFor(seconds(2));
  Site.Manifest_["limits"]["idle-timeout-s"] = 10;
  Site.apply("11");
  Site.idleFor(IdleTimeout + milliseconds(500));
  Site.sendAll();
  Site.checkAllAnswered();
}

/// Callers got 413 or 431 for requests that the manifest allows.
BOOST_AUTO_TEST_CASE(HigherLimitsDoNotApplyToIdleConnections) {
  constexpr std::size_t MoreBytes = 4000;
  Json First = firstManifest();
  First["limits"]["max-header-bytes"] = 1024;
  First["limits"]["max-body-bytes"] = 1024;
  ChangingSite Site(First);
  Site.connect();
  Site.Manifest_["limits"] = firstManifest()["limits"];
  Site.apply("11");
  for (std::size_t Index = 0; Index < ConnectionCount; ++Index) {
    Connection &Caller = *Site.Connections_[Index];
    Caller.send("/reads/r", Index % 2 == 0 ? MoreBytes : 0,
                Index % 2 == 0 ? 0 : MoreBytes);
  }
  Site.checkAllRan();
}

/// The older manifest lacks the routes of the requests.
BOOST_AUTO_TEST_CASE(RepeatedOrOlderManifestCutsRequests) {
  ChangingSite Site;
  Site.connect();
  Site.apply("11");
  Site.sendAll();
  Site.publish("11");
  Site.checkAllRan();
  Site.whileSuspended(milliseconds(300), [&Site] {
    Site.publish("11");
    Site.paths() = Json({Site.paths()[2]});
    Site.publish("9");
    Site.sendAll();
  });
  Site.checkAllRan();
  sleepFor(milliseconds(300));
  Site.sendAll();
  Site.checkAllRan();
}

} // namespace lagoonhitch
