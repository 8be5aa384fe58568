/// \file
/// Tests that replies of a store that was restored from an older copy are not
/// mistaken for those of the time before.

#define BOOST_TEST_MODULE store_era
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr const char *Appended = R"({"offset":4,"end":5})";

HttpServerOptions anyPort() {
  HttpServerOptions Options;
  Options.Address_ = "127.0.0.1:0";
  return Options;
}

/// A store that answers each call with the same body, and its client.
struct EraFixture {
  EraFixture()
      : Server_(Loop_, anyPort(),
                [this](const HttpRequest &Request,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  Target_ = Request.Target_;
                  HttpResponse Response;
                  Response.Body_ = Body_;
                  if (!Era_.empty())
                    Response.Headers_.push_back({"Store-Era", Era_});
                  Exchange->respond(std::move(Response));
                }),
        Client_(Loop_, Time_, HttpClientOptions()),
        Store_(
            Client_, Client_, Server_.address(), [] { return std::string(); },
            [this](StoreEra Era, std::optional<StoreEra>) {
              Eras_.push_back(static_cast<unsigned>(Era));
            }) {}

  AppendReply append(const std::string &Era) {
    Era_ = Era;
    Body_ = Appended;
    AppendReply Result;
    Store_.append("t", "k", "v", makeOffset(StoreEra(1), 4),
                  [this, &Result](const AppendReply &Reply) {
                    Result = Reply;
                    Loop_.stop();
                  });
    run();
    return Result;
  }

  ReadReply read(const std::string &Era, Offset From) {
    Era_ = Era;
    // The end, the first offset, and a record: its size, its key, its value.
    Body_ = std::string(16, '\0') + std::string("\0\0\0\3\1kv", 7);
    ReadReply Result;
    Store_.read("t", From, milliseconds(0), [this, &Result](ReadReply Reply) {
      Result = std::move(Reply);
      Loop_.stop();
    });
    run();
    return Result;
  }

  void run() {
    const std::shared_ptr<void> End =
        Loop_.after(milliseconds(2000), [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  std::string Era_;
  std::string Body_;
  std::string Target_;
  std::vector<unsigned> Eras_;
  HttpServer Server_;
  HttpClient Client_;
  StoreClient Store_;
};

} // namespace

BOOST_AUTO_TEST_CASE(OffsetsOfALaterEraAreGreater) {
  EraFixture Fixture;
  const AppendReply First = Fixture.append("1");
  const AppendReply Second = Fixture.append("2");
  BOOST_TEST((First.Kind_ == AppendReply::Kind::Done));
  BOOST_TEST(First.Offset_ == makeOffset(StoreEra(1), 4));
  BOOST_TEST(Second.Offset_ == makeOffset(StoreEra(2), 4));
  BOOST_TEST(Fixture.Target_.find("at=4") != std::string::npos);
  BOOST_TEST(Fixture.Eras_ == (std::vector<unsigned>{1, 2}));
}

/// A late reply, from before the store was restored.
BOOST_AUTO_TEST_CASE(ReplyOfAnEarlierEraProvesNothing) {
  EraFixture Fixture;
  Fixture.append("2");
  BOOST_TEST((Fixture.append("1").Kind_ == AppendReply::Kind::Unknown));
  BOOST_TEST(Fixture.Eras_ == (std::vector<unsigned>{2}));
}

BOOST_AUTO_TEST_CASE(ReplyWithoutAReadableEraProvesNothing) {
  EraFixture Fixture;
  BOOST_TEST((Fixture.append("").Kind_ == AppendReply::Kind::Done));
  Fixture.append("2");
  for (const char *Era : {"", "x", "-1", "4294967296"})
    BOOST_TEST((Fixture.append(Era).Kind_ == AppendReply::Kind::Unknown));
  BOOST_TEST((Fixture.append("2").Kind_ == AppendReply::Kind::Done));
}

BOOST_AUTO_TEST_CASE(RecordsAtAnOffsetOfAnEarlierEraAreNotRead) {
  EraFixture Fixture;
  const Offset From = makeOffset(StoreEra(1), 7);
  const ReadReply Before = Fixture.read("1", From);
  BOOST_TEST((Before.Kind_ == ReadReply::Kind::Done));
  BOOST_REQUIRE(Before.Records_.size() == 1U);
  BOOST_TEST(Before.Records_[0].Offset_ == From);
  const ReadReply After = Fixture.read("2", From);
  BOOST_TEST((After.Kind_ == ReadReply::Kind::Expired));
  BOOST_TEST(After.Records_.empty());
}

} // namespace lagoonhitch
