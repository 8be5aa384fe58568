/// \file
/// Tests of how a peer that reads slowly is told from one that is gone.

#define BOOST_TEST_MODULE output_progress
#include "net/output_progress.h"
#include "net/transmit_state.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};

/// A connection to which data was written at Start.
struct Connection {
  Connection() { onOutputWritten(Progress_, Start); }

  OutputState check(milliseconds At, milliseconds AcknowledgedAt) {
    State_.SinceAcknowledgement_ = At - AcknowledgedAt;
    return checkOutput(Progress_, State_, Start + At);
  }

  OutputProgress Progress_;
  TransmitState State_;
};

} // namespace

BOOST_AUTO_TEST_CASE(AcknowledgedDataIsDelivered) {
  Connection Sent;
  BOOST_TEST((Sent.check(milliseconds(60000), milliseconds(1)) ==
              OutputState::Delivered));
}

BOOST_AUTO_TEST_CASE(PeerThatAcknowledgesNothingIsGone) {
  Connection Sent;
  Sent.State_.Unacknowledged_ = true;
  // It has last acknowledged something long before.
  const milliseconds Before(-60000);
  BOOST_TEST((Sent.check(milliseconds(2499), Before) == OutputState::Sending));
  BOOST_TEST((Sent.check(milliseconds(2500), Before) == OutputState::PeerGone));
}

/// A slow link, or a peer that takes a little at a time.
BOOST_AUTO_TEST_CASE(PeerThatAcknowledgesSomethingIsThere) {
  Connection Sent;
  Sent.State_.Unacknowledged_ = true;
  Sent.State_.Unsent_ = true;
  for (milliseconds At(1000); At < milliseconds(60000); At += milliseconds(500))
    BOOST_TEST(
        (Sent.check(At, At - milliseconds(2400)) == OutputState::Sending));
}

/// The time between two probes grows, so that the last answer may be old.
BOOST_AUTO_TEST_CASE(PeerIsThereUntilAProbeIsUnanswered) {
  Connection Stalled;
  Stalled.State_.Unsent_ = true;
  BOOST_TEST((Stalled.check(milliseconds(12000), milliseconds(6000)) ==
              OutputState::WindowClosed));
  // A probe that has just been sent.
  Stalled.State_.UnansweredProbes_ = 1;
  BOOST_TEST((Stalled.check(milliseconds(12400), milliseconds(6000)) ==
              OutputState::WindowClosed));
  Stalled.State_.UnansweredProbes_ = 0;
  BOOST_TEST((Stalled.check(milliseconds(12900), milliseconds(12401)) ==
              OutputState::WindowClosed));
  // The next two are seen before they are answered.
  Stalled.State_.UnansweredProbes_ = 1;
  BOOST_TEST((Stalled.check(milliseconds(18800), milliseconds(12401)) ==
              OutputState::WindowClosed));
  BOOST_TEST((Stalled.check(milliseconds(25200), milliseconds(18801)) ==
              OutputState::WindowClosed));
}

BOOST_AUTO_TEST_CASE(PeerWithAClosedWindowThatAnswersNoProbeIsGone) {
  Connection Stalled;
  Stalled.State_.Unsent_ = true;
  Stalled.State_.UnansweredProbes_ = 1;
  const milliseconds Last(900);
  BOOST_TEST(
      (Stalled.check(milliseconds(2000), Last) == OutputState::WindowClosed));
  Stalled.State_.UnansweredProbes_ = 2;
  BOOST_TEST(
      (Stalled.check(milliseconds(3000), Last) == OutputState::WindowClosed));
  BOOST_TEST(
      (Stalled.check(milliseconds(3500), Last) == OutputState::PeerGone));
}

} // namespace lagoonhitch
