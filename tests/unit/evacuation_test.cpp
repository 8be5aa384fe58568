/// \file
/// Tests that a daemon knows the evacuated zones while the store drops records
/// or loses replies.

#define BOOST_TEST_MODULE evacuation
#include "daemon/site_watcher.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"
#include "platform/platform_codec.h"
#include "store/store.h"
#include "tests/standin/store_model.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

/// By how much a client waits longer than a read may take.
constexpr milliseconds ClientMargin{700};
constexpr const char *Evacuation = "evacuate/kv-a";

/// A store that deletes all records but the newest of each key as soon as they
/// are appended.
class ForgetfulStore : public Store {
public:
  explicit ForgetfulStore(IoLoop &Loop) : Loop_(Loop) {}

  void append(const std::string &, const std::string &, const std::string &,
              std::optional<Offset>, AppendDone) override {}
  void appendEpoch(const std::string &, std::uint64_t, AppendDone) override {}

  ReadHandle read(const std::string &Topic, Offset From, milliseconds Timeout,
                  ReadDone Done) override {
    if (LosesReads_) {
      reply(Timeout + ClientMargin, Done, ReadReply());
      return nullptr;
    }
    ReadReply Reply = readRecords(State_, Topic, From);
    if (!Reply.Records_.empty())
      Reply.Kind_ = ReadReply::Kind::Expired;
    reply(milliseconds(20), Done, Reply);
    return nullptr;
  }

  std::size_t receivedBytes(const ReadHandle &) const override { return 0; }

  void readNewest(const std::string &Topic, ReadDone Done) override {
    reply(milliseconds(0), Done, readNewestPerKey(State_, Topic));
  }

  StoreModel State_;
  /// Whether reads get no reply, so that the client gives them up.
  bool LosesReads_ = false;

private:
  void reply(milliseconds Delay, const ReadDone &Done, const ReadReply &Reply) {
    Timers_.push_back(Loop_.after(Delay, [Done, Reply] { Done(Reply); }));
  }

  IoLoop &Loop_;
  std::vector<std::shared_ptr<void>> Timers_;
};

struct EvacuationFixture {
  EvacuationFixture()
      : Source_(Loop_),
        Watcher_(Loop_, Time_, Source_, Site_, "h1",
                 {[] {}, [] {}, [] {},
                  [](const std::string &, const std::optional<KeyTable> &,
                     Offset) {},
                  [](EventId, const std::string &) {}}) {}

  void operate(const std::string &Key, const std::string &Value) {
    StoreAppend Append;
    Append.Topic_ = OperatorTopic;
    Append.Records_ = {{Key, Value, 0}};
    appendRecords(Source_.State_, Append);
    runFor(milliseconds(100));
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  const std::set<std::string> &zones() const {
    return Site_.Fleet_.EvacuatedZones_;
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  ForgetfulStore Source_;
  SiteState Site_;
  SiteWatcher Watcher_;
};

} // namespace

/// Review, case 2: the records are dropped during an evacuation, and another
/// one is written.
BOOST_AUTO_TEST_CASE(DroppedHistoryEndsNoEvacuation) {
  EvacuationFixture Fixture;
  Fixture.Watcher_.start();
  Fixture.operate(Evacuation, "{}");
  BOOST_TEST(Fixture.zones() == (std::set<std::string>{"kv-a"}));
  Fixture.operate("evacuate/kv-b", "{}");
  BOOST_TEST(Fixture.zones() == (std::set<std::string>{"kv-a", "kv-b"}));
}

/// The record that ends it may be dropped before it was read.
BOOST_AUTO_TEST_CASE(EvacuationThatIsNoLongerStoredEnds) {
  EvacuationFixture Fixture;
  Fixture.Watcher_.start();
  Fixture.operate(Evacuation, "{}");
  Fixture.operate("evacuate/kv-b", "{}");
  Fixture.operate(Evacuation, "");
  BOOST_TEST(Fixture.zones() == (std::set<std::string>{"kv-b"}));
}

/// Review, case 5: the store lost the reads of all hosts at the same moment,
/// and each host waited 10.7 s for the reply.
BOOST_AUTO_TEST_CASE(EvacuationIsKnownSoonAfterTheStoreHasLostARead) {
  EvacuationFixture Fixture;
  Fixture.Watcher_.start();
  Fixture.runFor(milliseconds(100));
  Fixture.Source_.LosesReads_ = true;
  Fixture.runFor(milliseconds(100));
  Fixture.Source_.LosesReads_ = false;
  Fixture.operate(Evacuation, "{}");
  Fixture.runFor(milliseconds(3000));
  BOOST_TEST(Fixture.zones() == (std::set<std::string>{"kv-a"}));
}

} // namespace lagoonhitch
