#include "daemon/topic_follower.h"

#include "net/io_loop.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

/// Longest wait of one read.
constexpr std::chrono::milliseconds ReadWait{10000};
/// Pause between two reads, so that changes close together come as one.
constexpr std::chrono::milliseconds ReadPause{20};
constexpr std::chrono::milliseconds FirstRetry{100};
constexpr std::chrono::milliseconds MaxRetry{800};
/// A read that waits for longer than this should have told of a new end.
constexpr std::chrono::milliseconds HintPatience{150};

} // namespace

TopicFollower::TopicFollower(IoLoop &Loop, const Clock &Time, Store &Source,
                             std::string Topic, Receiver Receive)
    : Loop_(Loop), Time_(Time), Source_(Source), Topic_(std::move(Topic)),
      Receive_(std::move(Receive)) {}

void TopicFollower::start() { readNewest(); }

void TopicFollower::later(Duration Delay, void (TopicFollower::*Step)()) {
  Timer_ = Loop_.after(Delay, [this, Step] { (this->*Step)(); });
}

void TopicFollower::hint(Offset End) {
  const bool Behind = Known_ && End > Next_;
  if (!Behind || Time_.now() - ReadSince_ < HintPatience)
    return;
  readOn();
}

void TopicFollower::readNewest() {
  const std::uint64_t Number = ++Read_;
  ReadSince_ = Time_.now();
  Source_.readNewest(Topic_, [this, Number](ReadReply Reply) {
    if (Number == Read_)
      onNewest(std::move(Reply));
  });
}

void TopicFollower::readOn() {
  const std::uint64_t Number = ++Read_;
  ReadSince_ = Time_.now();
  Source_.read(Topic_, Next_, ReadWait, [this, Number](ReadReply Reply) {
    if (Number == Read_)
      onRead(std::move(Reply));
  });
}

void TopicFollower::onNewest(ReadReply Reply) {
  const bool Usable =
      Reply.Kind_ == ReadReply::Kind::Done && Reply.End_ >= Next_;
  if (!Usable) {
    later(std::min<Duration>(FirstRetry * ++Failures_, MaxRetry),
          &TopicFollower::readNewest);
    return;
  }
  Failures_ = 0;
  Next_ = Reply.End_;
  Known_ = true;
  deliver(std::move(Reply.Records_), true);
  readOn();
}

void TopicFollower::onRead(ReadReply Reply) {
  if (Reply.Kind_ == ReadReply::Kind::Expired) {
    readNewest();
    return;
  }
  if (Reply.Kind_ == ReadReply::Kind::Failed) {
    later(std::min<Duration>(FirstRetry * ++Failures_, MaxRetry),
          &TopicFollower::readOn);
    return;
  }
  Failures_ = 0;
  Next_ = std::max(Next_, Reply.End_);
  if (!Reply.Records_.empty())
    deliver(std::move(Reply.Records_), false);
  later(ReadPause, &TopicFollower::readOn);
}

void TopicFollower::deliver(std::vector<StoreRecord> Records, bool Whole) {
  std::erase_if(Records, [this](const StoreRecord &Record) {
    const auto Found = Newest_.find(Record.Key_);
    const bool Old = Found != Newest_.end() && Record.Offset_ <= Found->second;
    return Old;
  });
  for (const StoreRecord &Record : Records)
    Newest_[Record.Key_] = Record.Offset_;
  Receive_(Records, Whole);
}

} // namespace lagoonhitch
