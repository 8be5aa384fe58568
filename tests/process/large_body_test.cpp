/// \file
/// Tests that a request body of the largest size passes through an entry daemon
/// and the gateway of a peer on the smallest hosts.

#define BOOST_TEST_MODULE large_body
#include "net/address.h"
#include "platform/monotonic_clock.h"
#include "tests/process/process_usage.h"
#include "tests/process/site.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;

namespace lagoonhitch {

namespace {

constexpr std::size_t PartBytes = std::size_t{64} * 1024;
constexpr std::size_t BodyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t MemoryLimitKilobytes = std::size_t{160} * 1024;
/// The upstream of this host is of another service than the one that is used.
constexpr std::uint32_t EntryHost = 0;

/// Sends a body and returns the start of the response; empty if the daemon has
/// reset the connection.
std::string send(const std::string &Address, bool InChunks,
                 std::size_t Bytes = BodyBytes) {
  boost::asio::io_context Context;
  tcp::socket Client(Context);
  Client.connect(parseEndpoint(Address));
  const std::string Framing = InChunks
                                  ? "Transfer-Encoding: chunked"
                                  : "Content-Length: " + std::to_string(Bytes);
  const std::string Head = "POST /pruf/1/approvals HTTP/1.1\r\nHost: site\r\n" +
                           Framing + "\r\n\r\n";
  const std::string Data(PartBytes, 'a');
  const std::string Part = InChunks ? "10000\r\n" + Data + "\r\n" : Data;
  boost::system::error_code Failure;
  boost::asio::write(Client, boost::asio::buffer(Head), Failure);
  for (std::size_t Sent = 0; Sent < Bytes && !Failure; Sent += PartBytes)
    boost::asio::write(Client, boost::asio::buffer(Part), Failure);
  if (InChunks && !Failure)
    boost::asio::write(Client, boost::asio::buffer("0\r\n\r\n", 5), Failure);
  std::string Line(std::string("HTTP/1.1 200").size(), '\0');
  Line.resize(boost::asio::read(Client, boost::asio::buffer(Line), Failure));
  return Line;
}

/// A site of the smallest hosts that admits the body.
struct LargeBodySite {
  explicit LargeBodySite(bool UseRelays = false)
      : Site_(Time_, options(UseRelays)) {
    BOOST_REQUIRE(Site_.waitUntilServing(std::chrono::seconds(20)));
  }

  static SiteOptions options(bool UseRelays) {
    SiteOptions Options;
    Options.UseRelays_ = UseRelays;
    Options.Hosts_ = 4;
    Options.MaxBodyBytes_ = BodyBytes;
    Options.RecordRuns_ = false;
    return Options;
  }

  std::string send(bool InChunks) const {
    return lagoonhitch::send(Site_.callersAddress(EntryHost), InChunks);
  }

  /// Returns the number of daemons that have held the body.
  std::size_t checkMemory() {
    std::size_t Holders = 0;
    for (std::uint32_t Host = 0; Host < Site_.hosts(); ++Host) {
      const std::size_t Memory = peakMemory(Site_.daemon(Host).id());
      BOOST_TEST_MESSAGE("host " << Host << ": peak memory " << Memory
                                 << " KB");
      BOOST_TEST(!Site_.status(Host).is_null());
      BOOST_TEST(Memory > 0U);
      BOOST_TEST(Memory < MemoryLimitKilobytes);
      if (Memory > BodyBytes / 1024)
        ++Holders;
    }
    return Holders;
  }

  MonotonicClock Time_;
  Site Site_;
};

} // namespace

/// A body that is copied on its way needs several times its size, and the
/// daemon is killed.
BOOST_DATA_TEST_CASE(LargestBodyExceedsTheMemoryOfAHost,
                     boost::unit_test::data::make({false, true}), InChunks) {
  LargeBodySite Fixture;
  BOOST_TEST(Fixture.send(InChunks) == "HTTP/1.1 200");
  BOOST_TEST(Fixture.checkMemory() == 2U);
}

/// Three bodies at once took a daemon over 260 MB.
BOOST_AUTO_TEST_CASE(SeveralLargestBodiesExceedTheMemoryOfAHost) {
  LargeBodySite Fixture;
  {
    constexpr std::size_t CallerCount = 3;
    std::vector<std::jthread> Callers;
    Callers.reserve(CallerCount);
    while (Callers.size() < CallerCount)
      Callers.emplace_back([&Fixture] { Fixture.send(false); });
  }
  Fixture.checkMemory();
  BOOST_TEST(Fixture.send(false) == "HTTP/1.1 200");
  Fixture.checkMemory();
}

/// The status query of the entry daemon found that the request had not arrived,
/// and rejected it for good while its body was on its way.
BOOST_AUTO_TEST_CASE(BodyTakesLongerToThePeerThanAStatusQuery) {
  constexpr std::size_t SlowBodyBytes = std::size_t{4} * 1024 * 1024;
  // Of 16 KiB, so that the body takes over a second.
  constexpr std::chrono::milliseconds ChunkDelay{5};
  LargeBodySite Fixture(true);
  for (std::uint32_t Host = 0; Host < Fixture.Site_.hosts(); ++Host)
    Fixture.Site_.relay(Host).setDelay(ChunkDelay);
  const Instant Start = Fixture.Time_.now();
  BOOST_TEST(send(Fixture.Site_.callersAddress(EntryHost), false,
                  SlowBodyBytes) == "HTTP/1.1 200");
  BOOST_TEST((Fixture.Time_.now() - Start > std::chrono::milliseconds(1000)));
}

} // namespace lagoonhitch
