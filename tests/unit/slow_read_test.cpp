/// \file
/// Tests how a topic follower reads a large record over a slow link.

#define BOOST_TEST_MODULE slow_read
#include "daemon/topic_follower.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t RecordBytes = 380000;
constexpr milliseconds Step{10};
/// What a link of 10 Mbit/s carries in a step.
constexpr std::size_t StepBytes = 12500;
/// Within this time a new manifest must be in force.
constexpr milliseconds MaxDeliveryTime{2000};
/// How long the long poll has waited when the record is appended.
constexpr milliseconds LongPollAge{1200};

/// A store whose replies share a slow link. Each read of the record asks for a
/// copy of it.
class SlowStore : public Store {
public:
  void append(const std::string &, const std::string &, const std::string &,
              std::optional<Offset>, AppendDone) override {}
  void appendEpoch(const std::string &, std::uint64_t, AppendDone) override {}

  ReadHandle read(const std::string &, Offset From, milliseconds,
                  ReadDone Done) override {
    Reply Started;
    Started.From_ = From;
    Started.Done_ = std::move(Done);
    Started.Delay_ = FirstByteDelay_;
    Started.Trickles_ = TricklingReads_ > 0;
    if (TricklingReads_ > 0)
      --TricklingReads_;
    Replies_.push_back(std::move(Started));
    return Replies_.back().Received_;
  }

  std::size_t receivedBytes(const ReadHandle &Read) const override {
    return *std::static_pointer_cast<std::size_t>(Read);
  }

  void readNewest(const std::string &, ReadDone Done) override {
    ReadReply Reply;
    Reply.Kind_ = ReadReply::Kind::Done;
    Done(std::move(Reply));
  }

  /// Lets the replies arrive for a time.
  void advance(milliseconds Span) {
    if (End_ == 0)
      return;
    std::size_t Arriving = 0;
    for (Reply &Each : Replies_) {
      if (Each.From_ >= End_ || Each.Ended_)
        continue;
      Each.Delay_ -= Span;
      Arriving += Each.Delay_ <= milliseconds(0) && !Each.Trickles_ ? 1 : 0;
    }
    for (std::size_t Index = 0; Index < Replies_.size(); ++Index)
      receive(Index, Arriving);
  }

  /// Returns how many copies of the record were asked for.
  std::size_t copies() const {
    std::size_t Copies = 0;
    for (const Reply &Each : Replies_)
      Copies += Each.From_ < End_ ? 1 : 0;
    return Copies;
  }

  /// The end of the topic.
  Offset End_ = 0;
  /// Time from a read of the record, or from its append, to the first byte.
  milliseconds FirstByteDelay_{0};
  /// How many times slower than usual the link is.
  std::size_t SlowDown_ = 1;
  /// How many of the next reads get one byte in each step.
  int TricklingReads_ = 0;

private:
  struct Reply {
    Offset From_ = 0;
    ReadDone Done_;
    milliseconds Delay_{0};
    bool Trickles_ = false;
    bool Ended_ = false;
    std::shared_ptr<std::size_t> Received_ = std::make_shared<std::size_t>(0);
  };

  void receive(std::size_t Index, std::size_t Arriving) {
    Reply &Each = Replies_[Index];
    if (Each.From_ >= End_ || Each.Ended_ || Each.Delay_ > milliseconds(0))
      return;
    *Each.Received_ += Each.Trickles_ ? 1 : StepBytes / SlowDown_ / Arriving;
    if (*Each.Received_ < RecordBytes)
      return;
    Each.Ended_ = true;
    *Each.Received_ = 0;
    ReadReply Result;
    Result.Kind_ = ReadReply::Kind::Done;
    for (Offset At = Each.From_; At < End_; ++At)
      Result.Records_.push_back({"k", "v" + std::to_string(At), At});
    Result.End_ = End_;
    const ReadDone Done = Each.Done_;
    Done(std::move(Result));
  }

  std::vector<Reply> Replies_;
};

/// A follower whose long poll waits at the end of the topic.
struct SlowReadFixture {
  SlowReadFixture()
      : Follower_(Loop_, Time_, Source_, "t", FollowMode::LongPoll,
                  [this](const std::vector<StoreRecord> &Records, RecordSet) {
                    for (const StoreRecord &Record : Records)
                      Delivered_ = Record.Value_;
                  }) {}

  void start() {
    Follower_.start();
    runFor(LongPollAge);
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  /// Appends a record, announces it in each step from a time on, and waits
  /// until it is delivered. Returns the time that this took.
  milliseconds awaitRecord(milliseconds FirstHint, int HintsInStep) {
    const Instant AppendedAt = Time_.now();
    const std::string Expected = "v" + std::to_string(Source_.End_++);
    const Instant Limit = AppendedAt + std::chrono::seconds(5);
    Instant Last = AppendedAt;
    while (Delivered_ != Expected && Time_.now() < Limit) {
      runFor(Step);
      const Instant Now = Time_.now();
      // The link keeps its speed if the test runs late.
      for (; Last + Step <= Now; Last += Step)
        Source_.advance(Step);
      for (int Hint = 0; Hint < HintsInStep; ++Hint)
        if (Now - AppendedAt >= FirstHint)
          Follower_.hintEnd(Source_.End_);
    }
    return toMillis(Time_.now() - AppendedAt);
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  SlowStore Source_;
  TopicFollower Follower_;
  std::string Delivered_;
};

} // namespace

/// 87 peers announce a manifest ten times a second each. While the reply to the
/// long poll is slow to begin, each further copy takes 300 ms of the link.
BOOST_DATA_TEST_CASE(AnnouncementsCauseFewCopies,
                     boost::unit_test::data::make({50, 200, 400, 800}),
                     FirstByteMillis) {
  SlowReadFixture Fixture;
  Fixture.start();
  Fixture.awaitRecord(milliseconds(100), 1);
  const std::size_t EarlierCopies = Fixture.Source_.copies();
  Fixture.Source_.FirstByteDelay_ = milliseconds(FirstByteMillis);
  Fixture.runFor(LongPollAge);
  const milliseconds Taken = Fixture.awaitRecord(milliseconds(20), 9);
  const std::size_t Copies = Fixture.Source_.copies() - EarlierCopies;
  BOOST_TEST_MESSAGE(Copies << " copies, delivered after " << Taken.count()
                            << " ms");
  BOOST_TEST((Taken < MaxDeliveryTime));
  BOOST_TEST(Copies <= 3U);
}

/// The other path of the store works, so a byte now and then must not keep the
/// follower from using it.
BOOST_AUTO_TEST_CASE(RecordIsReadAgainWhileItsReplyTrickles) {
  SlowReadFixture Fixture;
  Fixture.Source_.TricklingReads_ = 1;
  Fixture.start();
  for (int Record = 0; Record < 2; ++Record)
    BOOST_TEST((Fixture.awaitRecord(milliseconds(100), 1) < MaxDeliveryTime));
}

/// A link that is slower than usual gets no further copy for as long as the
/// record may be in time.
BOOST_AUTO_TEST_CASE(RecordThatArrivesWithinASecondIsReadOnce) {
  SlowReadFixture Fixture;
  Fixture.Source_.SlowDown_ = 3;
  Fixture.start();
  Fixture.awaitRecord(milliseconds(100), 1);
  BOOST_TEST(Fixture.Source_.copies() == 1U);
}

/// A reply that takes long but makes steady progress. Each copy would delay all
/// others.
BOOST_AUTO_TEST_CASE(SteadySlowReplyIsReadAgainEachSecond) {
  SlowReadFixture Fixture;
  Fixture.Source_.SlowDown_ = 10;
  Fixture.start();
  Fixture.awaitRecord(milliseconds(100), 1);
  BOOST_TEST(Fixture.Source_.copies() <= 2U);
}

} // namespace lagoonhitch
