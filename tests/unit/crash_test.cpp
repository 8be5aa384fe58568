/// \file
/// Tests how requests that crash upstreams are found.

#define BOOST_TEST_MODULE crash
#include "core/request_fingerprint.h"
#include "daemon/crash_record.h"
#include "daemon/gateway_request.h"
#include "membership/crash_history.h"
#include "membership/member_record.h"
#include "platform/platform_headers.h"
#include "recovery/answered_requests.h"
#include "recovery/lost_runs.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Instant Start{std::chrono::hours(5)};
const RequestFingerprint Fatal{7};

UpstreamCrash makeCrash(std::int64_t StartMillis,
                        std::vector<RequestFingerprint> Requests = {Fatal}) {
  UpstreamCrash Crash;
  Crash.Upstream_ = "u";
  Crash.StartMillis_ = StartMillis;
  Crash.Requests_ = std::move(Requests);
  return Crash;
}

/// Adds crashes of different incarnations, one a second.
void addCrashes(CrashHistory &State, int Count) {
  for (int Number = 0; Number < Count; ++Number)
    addCrash(State, makeCrash(Number), {}, Start + seconds(Number));
}

} // namespace

BOOST_AUTO_TEST_CASE(QuarantinesARequestAfterThreeCrashes) {
  CrashHistory State;
  addCrashes(State, 2);
  BOOST_TEST(!quarantineLeft(State, Fatal, Start + seconds(2)).has_value());
  const std::vector<RequestFingerprint> Added =
      addCrash(State, makeCrash(2), {}, Start + seconds(2));
  BOOST_TEST((Added == std::vector<RequestFingerprint>{Fatal}));
  const std::optional<Duration> Left =
      quarantineLeft(State, Fatal, Start + seconds(3));
  BOOST_REQUIRE(Left.has_value());
  BOOST_TEST((*Left == minutes(10) - seconds(1)));
  BOOST_TEST(!quarantineLeft(State, RequestFingerprint{8}, Start + seconds(3)));
}

/// A crash may be reported several times, by the upstream's daemon, its earlier
/// process, and the store.
BOOST_AUTO_TEST_CASE(CountsEachCrashOnce) {
  CrashHistory State;
  for (int Report = 0; Report < 5; ++Report)
    addCrash(State, makeCrash(1), {}, Start);
  BOOST_TEST(!quarantineLeft(State, Fatal, Start).has_value());
  // A later report may name further requests.
  addCrash(State, makeCrash(2, {}), {}, Start);
  addCrash(State, makeCrash(3), {}, Start);
  addCrash(State, makeCrash(2), {}, Start);
  BOOST_TEST(quarantineLeft(State, Fatal, Start).has_value());
}

BOOST_AUTO_TEST_CASE(QuarantineEndsAndIsLongerTheNextTime) {
  CrashHistory State;
  addCrashes(State, 3);
  const Instant End = Start + seconds(2) + minutes(10);
  BOOST_TEST(quarantineLeft(State, Fatal, End - seconds(1)).has_value());
  BOOST_TEST(!quarantineLeft(State, Fatal, End).has_value());
  addCrash(State, makeCrash(9), {}, End);
  BOOST_TEST(quarantineLeft(State, Fatal, End + minutes(19)).has_value());
  BOOST_TEST(!quarantineLeft(State, Fatal, End + minutes(20)).has_value());
}

BOOST_AUTO_TEST_CASE(ForgetsOldCrashesAndLimitsTheirNumber) {
  CrashHistory State;
  addCrashes(State, 3);
  addCrash(State, makeCrash(10, {}), {}, Start + minutes(130));
  BOOST_TEST(State.Entries_.size() == 1U);
  BOOST_TEST(State.Suspects_.empty());
  addCrashes(State, 1000);
  BOOST_TEST(State.Entries_.size() <= State.Options_.MaxEntries_);
  // A crash that is read from the store after a restart keeps its age.
  CrashHistory Restarted;
  for (int Number = 0; Number < 3; ++Number)
    addCrash(Restarted, makeCrash(Number), minutes(9), Start);
  BOOST_TEST((quarantineLeft(Restarted, Fatal, Start) == minutes(1)));
}

BOOST_AUTO_TEST_CASE(AnswersOfTheUpstreamClearEarlierLostRequests) {
  LostRuns State;
  LostRun Run;
  Run.LostAt_ = Start;
  addLostRun(State, Run);
  Run.LostAt_ = Start + milliseconds(20);
  addLostRun(State, Run);
  onUpstreamAlive(State, Start);
  BOOST_TEST(State.Runs_.size() == 2U);
  onUpstreamAlive(State, Start + milliseconds(10));
  BOOST_TEST(State.Runs_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemembersAnsweredRequests) {
  AnsweredRequests State;
  BOOST_TEST(!wasAnswered(State, Fatal));
  addAnswered(State, Fatal);
  BOOST_TEST(wasAnswered(State, Fatal));
  addAnswered(State, {Fatal.Value_ + AnsweredRequests::Places});
  BOOST_TEST(!wasAnswered(State, Fatal));
}

/// Others' requests must not be taken for one that crashes upstreams.
BOOST_AUTO_TEST_CASE(FingerprintsDifferInEachPart) {
  const RequestIdentity Base = {"s", "caller", "GET", "/a", "b"};
  RequestIdentity Other = Base;
  BOOST_TEST((fingerprintOf(Other) == fingerprintOf(Base)));
  for (std::string_view RequestIdentity::*Part :
       {&RequestIdentity::Service_, &RequestIdentity::CallerService_,
        &RequestIdentity::Method_, &RequestIdentity::Target_,
        &RequestIdentity::Body_}) {
    Other = Base;
    Other.*Part = "other";
    BOOST_TEST((fingerprintOf(Other) != fingerprintOf(Base)));
  }
  Other = Base;
  Other.Target_ = "/ab";
  Other.Body_ = "";
  BOOST_TEST((fingerprintOf(Other) != fingerprintOf(Base)));
}

/// A request may come again at any daemon, under any name of it.
BOOST_AUTO_TEST_CASE(FingerprintsAreEqualAtDifferentDaemons) {
  const HeaderNames Names = platformHeaders();
  GatewayRequest First;
  First.HttpRequest_.Headers_ = {{"Host", "127.0.0.1:1"},
                                 {Names.RequestId_, "1"},
                                 {Names.CallerService_, "caller"}};
  GatewayRequest Second = First;
  Second.HttpRequest_.Headers_[0].Value_ = "127.0.0.1:2";
  Second.HttpRequest_.Headers_[1].Value_ = "2";
  BOOST_TEST((fingerprintOf(First, Names) == fingerprintOf(Second, Names)));
  Second.HttpRequest_.Headers_[2].Value_ = "other";
  BOOST_TEST((fingerprintOf(First, Names) != fingerprintOf(Second, Names)));
}

BOOST_AUTO_TEST_CASE(MemberRecordsCarryCrashes) {
  MemberRecord Record;
  Record.Host_ = "h";
  Record.Crashes_ = {makeCrash(1), makeCrash(2, {Fatal, {9}})};
  const std::optional<MemberRecord> Decoded =
      decodeMember(encodeMember(Record));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((*Decoded == Record));
  // Records of earlier versions have no list.
  Record.Crashes_.clear();
  BOOST_TEST(encodeMember(Record).find("crashes") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ListsOnlyTheLatestCrashes) {
  std::vector<UpstreamCrash> Crashes;
  for (int Number = 1; Number <= 20; ++Number)
    mergeCrash(Crashes, makeCrash(Number, {}));
  BOOST_TEST(Crashes.size() == 8U);
  BOOST_TEST(Crashes.back().StartMillis_ == 20);
  mergeCrash(Crashes, makeCrash(20));
  BOOST_TEST(Crashes.size() == 8U);
  BOOST_TEST(Crashes.back().Requests_.size() == 1U);
}

} // namespace lagoonhitch
