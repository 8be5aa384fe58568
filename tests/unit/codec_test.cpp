/// \file
/// Control messages and request ids keep their values and refuse rubbish.

#define BOOST_TEST_MODULE codec
#include "core/request_id.h"
#include "net/control_codec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace lagoonhitch {

BOOST_AUTO_TEST_CASE(KeepsPromiseReply) {
  LeaseMessage Message;
  Message.From_ = 7;
  Message.To_ = 9;
  LeaseMessage::PromiseReply Reply;
  Reply.Victim_ = 3;
  Reply.Result_ = LeaseMessage::PromiseResult::Retired;
  Reply.Silence_ = std::chrono::milliseconds(812);
  Reply.Withheld_ = {{"katalog", 17, 4}};
  Message.Body_ = Reply;
  const std::string Wire = encodeLeaseMessage(Message);
  const std::optional<LeaseMessage> Back =
      decodeLeaseMessage(Wire.data(), Wire.size());
  BOOST_REQUIRE(Back.has_value());
  const LeaseMessage::PromiseReply &Read =
      std::get<LeaseMessage::PromiseReply>(Back->Body_);
  BOOST_TEST(Back->From_ == 7U);
  BOOST_TEST(Read.Victim_ == 3U);
  BOOST_TEST((Read.Result_ == LeaseMessage::PromiseResult::Retired));
  BOOST_TEST(Read.Silence_.count() == 812);
  BOOST_TEST((Read.Withheld_ == Reply.Withheld_));
}

RC_BOOST_PROP(RubbishIsRefusedWithoutHarm, (const std::string &Rubbish)) {
  decodeLeaseMessage(Rubbish.data(), Rubbish.size());
  parseRequestId(Rubbish);
}

RC_BOOST_PROP(CutMessageIsRefused, ()) {
  LeaseMessage Message;
  LeaseMessage::Renew Renewal;
  Renewal.Withheld_ = {{"katalog", 1, 2}};
  Message.Body_ = Renewal;
  const std::string Wire = encodeLeaseMessage(Message);
  const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Wire.size());
  RC_ASSERT(!decodeLeaseMessage(Wire.data(), Cut).has_value());
}

RC_BOOST_PROP(RequestIdsKeepTheirValues,
              (std::uint64_t Entry, std::uint64_t Sequence,
               std::uint32_t Attempt)) {
  const RequestId Id{Entry, Sequence, Attempt};
  RC_ASSERT(parseRequestId(toString(Id)) == Id);
}

} // namespace lagoonhitch
