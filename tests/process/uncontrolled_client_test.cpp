/// \file
/// Tests daemons whose clients do not stay within the limits, or use them up
/// together. Whatever such clients do, no daemon may end, hang, or exceed the
/// memory of the smallest hosts, and an ordinary request must be answered while
/// they are connected and after they have left.

#define BOOST_TEST_MODULE uncontrolled_client
#include "net/blocking_http.h"
#include "platform/monotonic_clock.h"
#include "tests/process/client_crowd.h"
#include "tests/process/process_usage.h"
#include "tests/process/site.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ostream>
#include <string>
#include <thread>

namespace lagoonhitch {

namespace {

constexpr std::size_t Mebibyte = std::size_t{1024} * 1024;
/// The crowd, and the largest body that the site admits.
constexpr std::size_t CrowdSize = 32;
constexpr std::size_t BodyBytes = 8 * Mebibyte;
/// The smallest hosts have 160 MB and 4,100 descriptors.
constexpr std::size_t MemoryLimitKilobytes = std::size_t{160} * 1024;
constexpr std::size_t DescriptorLimit = 4100;
/// The host whose daemon the crowd uses. It has an upstream of the service that
/// is not sharded.
constexpr std::uint32_t EntryHost = 1;
constexpr std::chrono::seconds CallTimeout{20};
constexpr int MaxTries = 40;

/// What a client sends, and what it is called in the test's output.
struct NamedScript {
  const char *Name_;
  CrowdScript Script_;
};

std::ostream &operator<<(std::ostream &Out, const NamedScript &Named) {
  return Out << Named.Name_;
}

std::string postHead(const std::string &Framing) {
  return "POST /pruf/1/approvals HTTP/1.1\r\nHost: site\r\n" + Framing +
         "\r\n\r\n";
}

std::string withLength(std::size_t Bytes) {
  return postHead("Content-Length: " + std::to_string(Bytes));
}

std::string inChunks() { return postHead("Transfer-Encoding: chunked"); }

std::string hexadecimal(std::size_t Number) {
  std::string Digits;
  for (; Number > 0; Number /= 16)
    Digits.insert(Digits.begin(), "0123456789abcdef"[Number % 16]);
  return Digits;
}

std::string chunkOf(std::size_t Bytes) {
  return hexadecimal(Bytes) + "\r\n" + std::string(Bytes, 'a') + "\r\n";
}

/// A body of the largest size in parts; without its last part or whole.
NamedScript largeBody(const char *Name, std::size_t PartBytes, bool Whole) {
  CrowdScript Script;
  Script.Head_ = withLength(BodyBytes);
  Script.Part_ = std::string(PartBytes, 'a');
  Script.Parts_ = BodyBytes / PartBytes - (Whole ? 0 : 1);
  Script.BytesPerTurn_ = PartBytes;
  return {Name, Script};
}

/// The same in chunks; without its last chunk or whole.
NamedScript chunkedBody(const char *Name, std::size_t ChunkBytes, bool Whole) {
  CrowdScript Script;
  Script.Head_ = inChunks();
  Script.Part_ = chunkOf(ChunkBytes);
  Script.Parts_ = BodyBytes / ChunkBytes - (Whole ? 0 : 1);
  Script.End_ = Whole ? "0\r\n\r\n" : "";
  return {Name, Script};
}

/// A body of twenty times the largest size.
NamedScript bodyOverTheLimit(const char *Name, bool Announced) {
  constexpr std::size_t Factor = 20;
  CrowdScript Script;
  Script.Head_ = Announced ? withLength(BodyBytes * Factor) : inChunks();
  const std::size_t PartBytes = std::size_t{64} * 1024;
  Script.Part_ = Announced ? std::string(PartBytes, 'a') : chunkOf(PartBytes);
  Script.Parts_ = BodyBytes * Factor / PartBytes;
  return {Name, Script};
}

/// A chunk header that does not end, as chunk extensions have no length.
NamedScript endlessChunkHeader() {
  CrowdScript Script;
  Script.Head_ = inChunks() + "1;";
  Script.Part_ = std::string(std::size_t{64} * 1024, 'a');
  Script.Parts_ = BodyBytes / Script.Part_.size();
  return {"endless chunk header", Script};
}

/// Requests whose responses repeat their bodies, and which are not read.
NamedScript unreadResponses() {
  constexpr std::size_t RepeatedBytes = 4 * Mebibyte;
  CrowdScript Script;
  Script.Head_ = withLength(RepeatedBytes);
  Script.Part_ = std::string(RepeatedBytes, 'a');
  Script.Parts_ = 1;
  Script.Reads_ = false;
  return {"unread responses", Script};
}

/// A site of four hosts, of which two run the service that the crowd uses.
struct CrowdedSite {
  CrowdedSite() : Site_(Time_, options()) {
    BOOST_REQUIRE(Site_.waitUntilServing(std::chrono::seconds(20)));
  }

  static SiteOptions options() {
    SiteOptions Options;
    Options.Hosts_ = 4;
    Options.MaxBodyBytes_ = BodyBytes;
    // Whole bodies wait for their upstreams for a while.
    Options.ServiceTimeMicros_ = 300000;
    Options.RecordRuns_ = false;
    return Options;
  }

  /// Sends a request, as an ordinary caller does, again while it is rejected.
  /// Returns the status of the last response; zero for none.
  unsigned callOrdinarily() const {
    unsigned Status = 0;
    for (int Try = 0; Try < MaxTries && Status != 200; ++Try) {
      HttpRequest Request;
      Request.Method_ = "POST";
      Request.Target_ = "/pruf/2/approvals";
      Request.Body_ = "ordinary";
      const HttpResult Result =
          callBlocking(Time_, Site_.callersAddress(EntryHost),
                       std::move(Request), CallTimeout);
      Status = Result.Status_ == HttpCallStatus::Completed
                   ? Result.Response_.Status_
                   : 0;
      if (Status != 200)
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    return Status;
  }

  void checkDaemons() {
    for (std::uint32_t Host = 0; Host < Site_.hosts(); ++Host) {
      BOOST_TEST_CONTEXT("host " << Host) {
        const pid_t Daemon = Site_.daemon(Host).id();
        BOOST_TEST(!Site_.status(Host).is_null());
        BOOST_TEST(peakMemory(Daemon) > 0U);
        BOOST_TEST(peakMemory(Daemon) < MemoryLimitKilobytes);
        BOOST_TEST(openDescriptors(Daemon) < DescriptorLimit);
        BOOST_TEST_MESSAGE(
            "host " << Host << ": peak memory " << peakMemory(Daemon) << " KB, "
                    << openDescriptors(Daemon) << " descriptors");
      }
    }
  }

  MonotonicClock Time_;
  Site Site_;
};

} // namespace

BOOST_DATA_TEST_CASE(
    ACrowdUsesUpADaemonsMemory,
    boost::unit_test::data::make<NamedScript>(
        {largeBody("length, stops before the end", 64 * 1024, false),
         largeBody("length, small parts, stops before the end", 1024, false),
         largeBody("length, whole", 64 * 1024, true),
         chunkedBody("large chunks, stops before the end", 64 * 1024, false),
         chunkedBody("large chunks, whole", 64 * 1024, true),
         chunkedBody("small chunks, stops before the end", 16, false),
         bodyOverTheLimit("over the limit, announced", true),
         bodyOverTheLimit("over the limit, just sent", false),
         endlessChunkHeader(), unreadResponses()}),
    Sent) {
  CrowdedSite Crowded;
  {
    ClientCrowd Crowd(Crowded.Site_.callersAddress(EntryHost), CrowdSize,
                      Sent.Script_);
    Crowd.send();
    BOOST_TEST(Crowded.callOrdinarily() == 200U);
    Crowded.checkDaemons();
    BOOST_TEST_MESSAGE(Crowd.closed()
                       << " of " << CrowdSize << " connections closed");
  }
  BOOST_TEST(Crowded.callOrdinarily() == 200U);
  Crowded.checkDaemons();
}

/// The protection must not reject what one client may send.
BOOST_AUTO_TEST_CASE(LargestBodyIsRejectedWithoutOtherLoad) {
  CrowdedSite Crowded;
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/pruf/1/approvals";
  Request.Body_ = std::string(BodyBytes, 'a');
  const HttpResult Result =
      callBlocking(Crowded.Time_, Crowded.Site_.callersAddress(EntryHost),
                   std::move(Request), CallTimeout);
  BOOST_REQUIRE((Result.Status_ == HttpCallStatus::Completed));
  BOOST_TEST(Result.Response_.Status_ == 200U);
  Crowded.checkDaemons();
}

} // namespace lagoonhitch
