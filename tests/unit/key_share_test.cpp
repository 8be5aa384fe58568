/// \file
/// Tests of the share of an upstream that a hot key may use.

#define BOOST_TEST_MODULE key_share
#include "limits/key_share.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds ProcessingTime{100};

AdmissionQueue queue() {
  AdmissionQueue Queue;
  resetForUpstream(Queue, 12);
  Queue.ProcessingTime_ = ProcessingTime;
  return Queue;
}

/// Returns how many requests of a hot key may run or wait at a time.
std::uint32_t limitFor(double OthersPerSecond, std::uint32_t OthersWaiting) {
  KeyShare Share{0, OthersWaiting, OthersPerSecond};
  while (Share.OfKey_ < 1000 && !exceedsKeyShare(queue(), Share))
    ++Share.OfKey_;
  return Share.OfKey_;
}

} // namespace

/// No other key has requests: the hot key may use everything. Otherwise a
/// single busy key would leave slots unused.
BOOST_AUTO_TEST_CASE(HotKeyAloneUsesEverything) {
  BOOST_TEST(limitFor(0, 0) == 1000U);
  BOOST_TEST(limitFor(0.5, 0) == 1000U);
}

/// Requests of other keys use three slots on average. Without a limit, the
/// requests of the hot key would fill all slots and the queue.
BOOST_AUTO_TEST_CASE(OtherKeysKeepTheirSlots) {
  BOOST_TEST(limitFor(30, 0) == 12U - 5 + 3);
  BOOST_TEST(limitFor(10, 0) == 12U - 2 + 3);
}

/// Requests of other keys wait, though few arrive: the hot key must not use the
/// slots that they wait for.
BOOST_AUTO_TEST_CASE(WaitingRequestsOfOtherKeysCount) {
  BOOST_TEST(limitFor(0, 4) == 12U - 4 + 3);
}

/// However many requests other keys get, half of the slots stay for the hot
/// key.
BOOST_AUTO_TEST_CASE(HotKeyKeepsHalfOfTheSlots) {
  BOOST_TEST(limitFor(1000, 100) == 12U - 6 + 3);
}

/// The time to retry is the one after which the key's own requests have left
/// room, not zero.
BOOST_AUTO_TEST_CASE(StatesWhenTheNextRequestMayCome) {
  const std::optional<Duration> One = exceedsKeyShare(queue(), {10, 0, 30});
  const std::optional<Duration> Three = exceedsKeyShare(queue(), {12, 0, 30});
  BOOST_REQUIRE((One && Three));
  BOOST_TEST((*One == Duration(ProcessingTime) / 7));
  BOOST_TEST((*Three == Duration(ProcessingTime) * 3 / 7));
}

/// An upstream with a single slot runs the requests in their order.
BOOST_AUTO_TEST_CASE(SingleSlotIsNotReserved) {
  AdmissionQueue Queue = queue();
  Queue.Slots_ = 1;
  BOOST_TEST(!exceedsKeyShare(Queue, {5, 1, 10}).has_value());
}

} // namespace lagoonhitch
