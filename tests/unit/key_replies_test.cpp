/// \file
/// Tests of what an upstream's responses to grants and releases prove.

#define BOOST_TEST_MODULE key_replies
#include "platform/platform_codec.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace lagoonhitch {

namespace {

HttpResult completed(unsigned Status) {
  HttpResult Result;
  Result.Status_ = HttpCallStatus::Completed;
  Result.Response_.Status_ = Status;
  return Result;
}

HttpResult releaseReply() {
  HttpResult Result = completed(200);
  Result.Response_.Headers_.push_back({"X-Handover", "5c0e"});
  return Result;
}

} // namespace

/// An extra response to something else. The upstream still holds the keys.
BOOST_AUTO_TEST_CASE(ResponseWithoutHandoverIsNoRelease) {
  const std::optional<std::string> Handover =
      handoverData(completed(200).Response_);
  BOOST_TEST(!Handover.has_value());
}

BOOST_AUTO_TEST_CASE(ReleaseReturnsItsHandover) {
  const std::optional<std::string> Handover =
      handoverData(releaseReply().Response_);
  BOOST_REQUIRE(Handover.has_value());
  BOOST_TEST(*Handover == "5c0e");
}

/// It is repeated in JSON, which can't have such bytes.
BOOST_AUTO_TEST_CASE(SpoiledHandoverIsNoRelease) {
  for (const char *Spoiled : {"h\xc3", "\xff", "a b", "a\nb", "\x7f"}) {
    HttpResult Result = releaseReply();
    Result.Response_.Headers_[0].Value_ = Spoiled;
    BOOST_TEST(!handoverData(Result.Response_).has_value());
  }
}

BOOST_AUTO_TEST_CASE(FailedResponseIsNoRelease) {
  HttpResult Failed = releaseReply();
  Failed.Response_.Status_ = 503;
  const std::optional<std::string> Handover = handoverData(Failed.Response_);
  BOOST_TEST(!Handover.has_value());
}

/// It may be an extra copy of an earlier rejection, and the grant may still be
/// applied.
BOOST_AUTO_TEST_CASE(RejectionDoesNotProveThatAGrantIsNotApplied) {
  for (const unsigned Status : {400U, 429U, 500U, 503U})
    BOOST_TEST((grantResult(completed(Status)) == GrantResult::Unknown));
  BOOST_TEST((grantResult(completed(409)) == GrantResult::HigherFence));
}

BOOST_AUTO_TEST_CASE(ReplyToAReleaseIsNoGrant) {
  BOOST_TEST((grantResult(releaseReply()) == GrantResult::Unknown));
}

BOOST_AUTO_TEST_CASE(GrantThatWasNotSentIsNotApplied) {
  BOOST_TEST((grantResult(HttpResult()) == GrantResult::Rejected));
  BOOST_TEST((grantResult(completed(200)) == GrantResult::Granted));
}

} // namespace lagoonhitch
