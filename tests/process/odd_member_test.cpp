/// \file
/// Tests that odd member records in the store neither end the daemons that read
/// them nor hide the records of other hosts.

#define BOOST_TEST_MODULE odd_member
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Topic = "keyed.members";

std::string memberText(const std::string &Host, const std::string &Slots,
                       const std::string &Port, const std::string &Crashes) {
  return R"({"host":")" + Host +
         R"(","zone":"z","service":"pruf","peer":"127.0.0.1:)" + Port +
         R"(","digest":"127.0.0.1:)" + Port +
         R"(","upstream":"u","born":1,"process":1,"state":"ready","slots":)" +
         Slots + R"(,"crashes":[)" + Crashes + "]}";
}

/// Deep enough to end a process that copies the value recursively.
std::string deepCrash() {
  constexpr std::size_t Levels = 200000;
  return std::string(Levels, '[') + std::string(Levels, ']');
}

} // namespace

BOOST_AUTO_TEST_CASE(OddMemberRecordsEndOrStopDaemons) {
  SiteFixture Fixture;
  LoadGeneratorOptions Load;
  Load.Workers_ = 4;
  Load.ThinkTime_ = milliseconds(10);
  Fixture.startLoad(Load);
  Site &Hosts = Fixture.Site_;
  const std::size_t Known = Hosts.status(0)["members"].size();
  BOOST_TEST(Hosts.appendToStore(
                 Topic, "x1", memberText("x1", "1", "9", deepCrash())) == 200U);
  BOOST_TEST(Hosts.appendToStore(Topic, "x2",
                                 memberText("x2", "1e400", "9", "")) == 200U);
  BOOST_TEST(Hosts.appendToStore(Topic, "x3",
                                 memberText("x3", "1", "99999", "")) == 200U);
  // Read by the daemons that run, then by one that starts.
  Hosts.killAndRestartDaemon(3);
  sleepFor(seconds(3));
  for (std::uint32_t Host = 0; Host < Hosts.hosts(); ++Host) {
    const nlohmann::json Status = Hosts.status(Host);
    BOOST_REQUIRE_MESSAGE(Status.is_object(), "no daemon on host " << Host);
    BOOST_TEST(Status["members"].size() == Known);
  }
  Hosts.restartUpstream(3);
  BOOST_TEST(Hosts.waitUntilServing(seconds(20)));
  sleepFor(seconds(2));
  BOOST_TEST(Fixture.countRecentlyFailed(seconds(1)) == 0U);
  Fixture.finishAndCheck();
}

} // namespace lagoonhitch
