/// \file
/// Passes damaged messages to each decoder. One malformed message must not end
/// the process: decoders report it, and never throw.

#define BOOST_TEST_MODULE hostile_input
#include "daemon/forward_codec.h"
#include "membership/member_record.h"
#include "net/digest_codec.h"
#include "ownership/table_change.h"
#include "platform/platform_codec.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr Instant Now{std::chrono::hours(1)};
constexpr int Rounds = 4000;

/// Fragments that change the type, the size or the nesting of a value.
const std::vector<std::string> Fragments = {"null",
                                            "-1",
                                            "1e999",
                                            "\"\"",
                                            "[]",
                                            "{}",
                                            "[[[[",
                                            "}}",
                                            "\\u0000",
                                            "\xff",
                                            "18446744073709551616",
                                            ",",
                                            "true",
                                            "0.5",
                                            "\"x\":",
                                            std::string(300, '['),
                                            std::string("\0", 1)};

std::string damage(std::string Text, std::mt19937_64 &Random) {
  const int Changes = 1 + static_cast<int>(Random() % 3);
  for (int Change = 0; Change < Changes; ++Change) {
    const std::size_t At = Text.empty() ? 0 : Random() % Text.size();
    switch (Random() % 5) {
    case 0:
      Text.resize(At);
      break;
    case 1:
      Text.insert(At, Fragments[Random() % Fragments.size()]);
      break;
    case 2:
      Text.erase(At, Random() % 12);
      break;
    case 3:
      if (!Text.empty())
        Text[At] = static_cast<char>(Random());
      break;
    case 4:
      Text.replace(At, std::min<std::size_t>(Text.size() - At, 6),
                   Fragments[Random() % Fragments.size()]);
      break;
    }
  }
  return Text;
}

/// Decodes damaged versions of a message. The original must be accepted, so
/// that the damage is not the only reason for rejections.
void checkDecoder(const char *Name, const std::string &Valid,
                  const std::function<bool(const std::string &)> &Accepts) {
  BOOST_TEST(Accepts(Valid), Name << " rejects a valid message");
  std::mt19937_64 Random(1);
  int Rejected = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::string Damaged = damage(Valid, Random);
    try {
      Rejected += Accepts(Damaged) ? 0 : 1;
    } catch (const std::exception &Failure) {
      BOOST_ERROR(Name << " throws " << Failure.what() << " for " << Damaged);
      return;
    }
  }
  BOOST_TEST(Rejected > 0, Name << " accepts everything");
}

KeyTable makeTable(KeyId Split, Offset RecordOffset) {
  KeyTable Table;
  for (const KeyRange &Range :
       {KeyRange{0, Split - 1}, KeyRange{Split, LastKey}}) {
    KeyRow Row;
    Row.Range_ = Range;
    Row.Owner_ = {"h" + std::to_string(Range.First_), "up", 7, 1};
    Row.Fence_ = RecordOffset + 1;
    Table.Rows_.push_back(Row);
  }
  Table.Offset_ = RecordOffset;
  return Table;
}

MemberRecord makeMember() {
  MemberRecord Record;
  Record.Host_ = "h1";
  Record.Service_ = "s";
  Record.PeerAddress_ = "127.0.0.1:1";
  UpstreamCrash Crash;
  Crash.Upstream_ = "up";
  Crash.StartMillis_ = 5;
  Crash.Requests_.emplace_back();
  Record.Crashes_.push_back(Crash);
  return Record;
}

GatewayRequest makeForwardedRequest() {
  GatewayRequest Request;
  Request.Id_ = {1, 2, 3};
  Request.Service_ = "s";
  Request.Key_ = 7;
  Request.Deadline_ = Now + std::chrono::seconds(2);
  Request.ObjectiveAt_ = Now + std::chrono::seconds(1);
  return Request;
}

} // namespace

BOOST_AUTO_TEST_CASE(ManifestDecoder) {
  checkDecoder(
      "decodeManifest",
      R"({"version":"0000000c","services":[{"name":"a","cold-start-s":3.0,
          "cold-per-s":17.0,"sharded":true,"grants":"heartbeat"}],
          "limits":{"max-header-bytes":9000,"idle-timeout-s":15},
          "virtual-hosts":[{"hostname":"x","paths":[{"name":"r",
          "path-prefix":"/p/","kind":"idempotent","timeout-s":2.5,
          "priority":1,"attempts":2,
          "weighted-clusters":[{"service":"a","weight":9}]}]}]})",
      [](const std::string &Text) { return decodeManifest(Text).has_value(); });
}

BOOST_AUTO_TEST_CASE(HeartbeatDecoder) {
  checkDecoder(
      "decodeHeartbeat",
      R"({"service":"s","address":"1.2.3.4:5","slots":18,"state":"ready",
          "cold-left-s":1.5,"sequence":4,"born":1773018966000,
          "holds":[[0,4095,7]],"is-released":[[4096,8191,"5c0e"]]})",
      [](const std::string &Text) {
        return decodeHeartbeat("i-1", Text).has_value();
      });
}

BOOST_AUTO_TEST_CASE(TableDecoder) {
  checkDecoder(
      "decodeTable", encodeTable(makeTable(100, 4)),
      [](const std::string &Text) { return decodeTable(Text, 4).has_value(); });
}

BOOST_AUTO_TEST_CASE(TableChangeDecoder) {
  const KeyTable Before = makeTable(100, 4);
  const auto Change = encodeChange(Before, makeTable(200, 5));
  BOOST_REQUIRE(Change.has_value());
  checkDecoder("applyChange", *Change, [&Before](const std::string &Text) {
    return applyChange(Before, Text, 5).has_value();
  });
}

BOOST_AUTO_TEST_CASE(MemberDecoder) {
  checkDecoder(
      "decodeMember", encodeMember(makeMember()),
      [](const std::string &Text) { return decodeMember(Text).has_value(); });
}

BOOST_AUTO_TEST_CASE(DigestDecoder) {
  LoadDigest Digest;
  Digest.Host_ = "h1";
  Digest.Slots_ = 18;
  checkDecoder("decodeDigest", encodeDigest(Digest),
               [](const std::string &Text) {
                 return decodeDigest(Text.data(), Text.size()).has_value();
               });
}

BOOST_AUTO_TEST_CASE(PushedRecordDecoder) {
  const PushedRecord Pushed = {"topic", {"key", "value", 7}};
  checkDecoder(
      "decodePushedRecord", encodePushedRecord(Pushed),
      [](const std::string &Text) {
        return decodePushedRecord(Text.data(), Text.size()).has_value();
      });
}

BOOST_AUTO_TEST_CASE(ForwardedRequestDecoder) {
  const HttpRequest Message =
      encodeForwardedRequest(makeForwardedRequest(), Now);
  BOOST_TEST(decodeForwardedRequest(Message, Now).has_value());
  std::mt19937_64 Random(2);
  for (int Round = 0; Round < Rounds; ++Round) {
    HttpRequest Damaged = Message;
    HttpHeader &Header = Damaged.Headers_[Random() % Damaged.Headers_.size()];
    Header.Value_ = damage(Header.Value_, Random);
    BOOST_CHECK_NO_THROW(decodeForwardedRequest(Damaged, Now));
  }
}

BOOST_AUTO_TEST_CASE(StatusQueryDecoder) {
  AttemptStatusQuery Query;
  Query.Id_ = {1, 2, 3};
  Query.StartWithin_ = std::chrono::milliseconds(500);
  checkDecoder("decodeStatusQuery", encodeStatusQuery(Query).Target_,
               [](const std::string &Text) {
                 return decodeStatusQuery(Text).has_value();
               });
}

BOOST_AUTO_TEST_CASE(GatewayResultDecoder) {
  GatewayResult Result;
  Result.Outcome_ = Outcome::NotRun;
  Result.RejectReason_ = RejectReason::Overloaded;
  Result.RetryAfter_ = std::chrono::milliseconds(300);
  Result.Load_ = LoadReport();
  const HttpResponse Message = encodeGatewayResult(Result);
  std::mt19937_64 Random(3);
  for (int Round = 0; Round < Rounds; ++Round) {
    HttpResponse Damaged = Message;
    HttpHeader &Header = Damaged.Headers_[Random() % Damaged.Headers_.size()];
    Header.Value_ = damage(Header.Value_, Random);
    BOOST_CHECK_NO_THROW(decodeGatewayResult(Damaged));
    BOOST_CHECK_NO_THROW(decodeStatusReply(Damaged));
  }
}

} // namespace lagoonhitch
