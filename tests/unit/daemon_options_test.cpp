/// \file
/// Tests of the options that a daemon derives from its settings and manifest.

#define BOOST_TEST_MODULE daemon_options
#include "daemon/daemon_options.h"
#include "daemon/forward_codec.h"
#include "net/request_rejection.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

/// A peer that rejects the head or the body of a forwarded request gives no
/// outcome, so that the request counts as run.
BOOST_AUTO_TEST_CASE(RequestThatTheManifestAllowsIsTooLargeForPeers) {
  constexpr std::size_t AddedBytes = 1024;
  for (const std::size_t Bytes :
       {16U << 10U, 120U << 10U, 128U << 10U, 64U << 20U, 65U << 20U}) {
    CallerLimits Limits;
    Limits.MaxHeaderBytes_ = Bytes;
    Limits.MaxBodyBytes_ = Bytes;
    const HttpServerOptions Options = peerServerOptions("127.0.0.1:0", Limits);
    BOOST_TEST(Options.MaxHeaderBytes_ >= Bytes + AddedBytes);
    BOOST_TEST(Options.MaxBodyBytes_ >= Bytes);
  }
}

/// A budget below the largest body would reject it on every host.
BOOST_AUTO_TEST_CASE(LargestBodyDoesNotFitIntoTheMemory) {
  constexpr std::size_t Megabyte = std::size_t{1024} * 1024;
  constexpr Instant Now{};
  for (const std::size_t Memory : {64, 160, 512})
    for (const std::size_t BodyMegabytes : {1, 64, 128}) {
      MemoryBudget Budget(budgetOptions(Memory, BodyMegabytes * Megabyte));
      BudgetEntry Small;
      BudgetEntry Largest;
      BOOST_TEST(Budget.tryResize(Small, std::size_t{64} * 1024, Now));
      BOOST_TEST(
          Budget.tryResize(Largest, (BodyMegabytes + 1) * Megabyte, Now));
    }
  constexpr std::size_t SmallestHost = 160;
  BOOST_TEST(budgetOptions(SmallestHost, 64 * Megabyte).MaxBytes_ ==
             80 * Megabyte);
}

/// Callers that use up the descriptors would cut a daemon off from its peers.
BOOST_AUTO_TEST_CASE(CallersUseUpTheDescriptors) {
  BOOST_TEST(maxCallerConnections(4100) == 3075U);
}

/// An entry daemon that does not understand the rejection of a body would
/// count the request as run, or try again at once.
BOOST_AUTO_TEST_CASE(PeerRejectsABodyForItsMemory) {
  HttpResponse Response = rejectionResponse(RequestRejection::NoMemory);
  for (const HttpHeader &Header :
       peerServerOptions("127.0.0.1:0").NoMemoryHeaders_)
    Response.Headers_.push_back(Header);
  const GatewayResult Result = decodeGatewayResult(std::move(Response));
  BOOST_TEST((Result.Outcome_ == Outcome::NotRun));
  BOOST_TEST((Result.RejectReason_ == RejectReason::Overloaded));
  BOOST_TEST((Result.RetryAfter_ == MemoryRetryAfter));
  BOOST_TEST(!Result.RejectedByUpstream_);
}

} // namespace lagoonhitch
