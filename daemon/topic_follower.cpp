#include "daemon/topic_follower.h"

#include "net/io_loop.h"
#include "store/store_era.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace lagoonhitch {

namespace {

/// Longest time that one read waits for new records.
constexpr std::chrono::milliseconds LongestPollTimeout{10000};
/// Pause between two long polls, so that changes close together are read as one
/// batch.
constexpr std::chrono::milliseconds ReadPause{20};
/// Interval of the fallback reads while peers push records.
constexpr std::chrono::milliseconds PushedReadInterval{30000};
constexpr std::chrono::milliseconds InitialRetryDelay{100};
constexpr std::chrono::milliseconds MaxRetryDelay{800};
/// Time that a pushed record, or the reply to a waiting read, may take to
/// arrive before a hinted end causes another read. Doubled for each further one
/// until new records arrive.
constexpr std::chrono::milliseconds HintDelay{150};
/// The longest such time: a new manifest must be in force within two seconds,
/// also if some replies are lost.
constexpr std::chrono::milliseconds MaxRereadDelay{600};
/// Time for a reply to arrive, from its first part, from the start of the read
/// or from the announcement of its records by a peer, whichever is latest. Then
/// the records are read once more: bytes that trickle are no reason to wait
/// while another connection may work.
constexpr std::chrono::milliseconds MaxArrivalTime{1000};
/// Time in which records that the store lost are written again.
constexpr std::chrono::milliseconds RewriteTime{2500};

} // namespace

TopicFollower::TopicFollower(IoLoop &Loop, const Clock &Time, Store &Source,
                             std::string Topic, FollowMode Mode,
                             RecordsCallback OnRecords, PollTimeout Timeout)
    : Loop_(Loop), Time_(Time), Source_(Source), Topic_(std::move(Topic)),
      Mode_(Mode), OnRecords_(std::move(OnRecords)),
      Timeout_(std::move(Timeout)), RereadDelay_(HintDelay) {}

std::chrono::milliseconds
TopicFollower::longestPollTimeout(std::uint64_t /*ReadNumber*/) {
  return LongestPollTimeout;
}

void TopicFollower::start() { readNewest(); }

void TopicFollower::onStoreRestored() {
  // Otherwise the first read is under way.
  if (Loaded_)
    readNewest();
}

void TopicFollower::schedule(Duration Delay, void (TopicFollower::*Step)()) {
  Timer_ = Loop_.after(Delay, [this, Step] { (this->*Step)(); });
}

void TopicFollower::hintEnd(Offset End) {
  HintedEnd_ = std::max(HintedEnd_, End);
  const bool Behind = Loaded_ && HintedEnd_ > NextOffset_;
  if (!Behind)
    return;
  if (!HintedAt_)
    HintedAt_ = Time_.now();
  if (Mode_ == FollowMode::Pushed) {
    // The pushed record itself may still be on its way.
    if (!Reading_ && !HintTimer_)
      HintTimer_ = Loop_.after(HintDelay, [this] { readIfBehind(); });
    return;
  }
  // A read of all records is under way. It ends by its own timeout.
  if (ReadingNewest_)
    return;
  const bool Overdue = isReplyOverdue();
  if (!Overdue && mayReplyArrive())
    return;
  if (Overdue)
    OverdueEnd_ = HintedEnd_;
  RereadDelay_ = std::min<Duration>(RereadDelay_ * 2, MaxRereadDelay);
  ++RepeatedReads_;
  readNext();
}

/// Returns whether a reply with announced records takes too long to arrive.
/// Only once for these records: further copies would share the link.
bool TopicFollower::isReplyOverdue() const {
  if (OverdueEnd_ >= HintedEnd_)
    return false;
  const Instant Start = std::max({*HintedAt_, ReadStartedAt_, ArrivingSince_});
  return Time_.now() - Start >= MaxArrivalTime;
}

/// Returns whether the reply may only be slow, because it is large or the link
/// is full. A second one would take the same bytes from the link once more.
bool TopicFollower::mayReplyArrive() {
  if (Time_.now() - std::max(ReadStartedAt_, ReceivedAt_) < RereadDelay_)
    return true;
  return noteReceivedBytes();
}

/// Returns whether a part of a reply has arrived since the last call.
bool TopicFollower::noteReceivedBytes() {
  std::size_t Received = 0;
  for (const auto &[Number, Read] : OpenReads_)
    Received += Source_.receivedBytes(Read);
  const bool Arriving = Received > 0 && Received != ReceivedBytes_;
  if (Arriving)
    ReceivedAt_ = Time_.now();
  if (Arriving && ReceivedBytes_ == 0)
    ArrivingSince_ = ReceivedAt_;
  ReceivedBytes_ = Received;
  return Arriving;
}

void TopicFollower::readIfBehind() {
  HintTimer_.reset();
  if (!Reading_ && HintedEnd_ > NextOffset_)
    readNext();
}

void TopicFollower::onPushedRecord(const StoreRecord &Record, bool Snapshot) {
  if (!Loaded_)
    return;
  if (Snapshot)
    advanceTo(Record.Offset_ + 1);
  else
    PushedAhead_.insert(Record.Offset_);
  advanceTo(NextOffset_);
  deliver({Record}, RecordSet::Changes);
}

void TopicFollower::skipRecord(const std::string &Key, Offset RecordOffset) {
  if (!Loaded_)
    return;
  advanceTo(RecordOffset + 1);
  LastRecord &Last = LastRecords_[Key];
  Last = {std::max(Last.Offset_, RecordOffset), true};
}

/// Advances NextOffset_ to an offset and past the pushed records that follow it
/// without a gap.
void TopicFollower::advanceTo(Offset Next) {
  if (Next > NextOffset_)
    RereadDelay_ = HintDelay;
  NextOffset_ = std::max(NextOffset_, Next);
  PushedAhead_.erase(PushedAhead_.begin(),
                     PushedAhead_.lower_bound(NextOffset_));
  while (!PushedAhead_.empty() && *PushedAhead_.begin() == NextOffset_) {
    PushedAhead_.erase(PushedAhead_.begin());
    ++NextOffset_;
  }
}

/// Waits for new records as the mode requires.
void TopicFollower::continueReading() {
  if (Mode_ == FollowMode::LongPoll) {
    readNext();
    return;
  }
  schedule(PushedReadInterval, &TopicFollower::readNext);
  hintEnd(HintedEnd_);
}

void TopicFollower::readNewest() {
  const std::uint64_t Number = ++ReadNumber_;
  ReadStartedAt_ = Time_.now();
  Reading_ = true;
  ReadingNewest_ = true;
  Source_.readNewest(Topic_, [this, Number](ReadReply Reply) {
    if (Number == ReadNumber_)
      onNewest(std::move(Reply));
  });
}

void TopicFollower::readNext() {
  const std::uint64_t Number = ++ReadNumber_;
  ReadStartedAt_ = Time_.now();
  Reading_ = true;
  const std::chrono::milliseconds Wait = Mode_ == FollowMode::LongPoll
                                             ? Timeout_(Number)
                                             : std::chrono::milliseconds(0);
  OpenReads_[Number] =
      Source_.read(Topic_, NextOffset_, Wait, [this, Number](ReadReply Reply) {
        OpenReads_.erase(Number);
        if (Number == ReadNumber_)
          onRead(std::move(Reply));
        else
          onEarlierRead(std::move(Reply));
      });
}

void TopicFollower::onNewest(ReadReply Reply) {
  Reading_ = false;
  ReadingNewest_ = false;
  const bool Usable =
      Reply.Kind_ == ReadReply::Kind::Done && Reply.End_ >= NextOffset_;
  if (!Usable) {
    schedule(std::min<Duration>(InitialRetryDelay * ++Failures_, MaxRetryDelay),
             &TopicFollower::readNewest);
    return;
  }
  Failures_ = 0;
  const bool Restored = Loaded_ && eraOf(Reply.End_) != eraOf(NextOffset_);
  updateStatistics(Reply);
  advanceTo(Reply.End_);
  Loaded_ = true;
  // Reading goes on even if the records can't be handled.
  continueReading();
  deliverNewest(std::move(Reply),
                Restored ? RecordSet::Restored : RecordSet::Changes);
}

void TopicFollower::onRead(ReadReply Reply) {
  Reading_ = false;
  if (Reply.Kind_ == ReadReply::Kind::Expired) {
    readNewest();
    return;
  }
  if (Reply.Kind_ == ReadReply::Kind::Failed) {
    schedule(std::min<Duration>(InitialRetryDelay * ++Failures_, MaxRetryDelay),
             &TopicFollower::readNext);
    return;
  }
  Failures_ = 0;
  updateStatistics(Reply);
  advanceTo(Reply.End_);
  if (Mode_ == FollowMode::LongPoll)
    schedule(ReadPause, &TopicFollower::readNext);
  else
    continueReading();
  if (!Reply.Records_.empty())
    deliver(std::move(Reply.Records_), RecordSet::Changes);
}

/// Uses the reply to a read that was repeated before it arrived.
void TopicFollower::onEarlierRead(ReadReply Reply) {
  if (Reply.Kind_ != ReadReply::Kind::Done || Reply.End_ <= NextOffset_)
    return;
  updateStatistics(Reply);
  advanceTo(Reply.End_);
  deliver(std::move(Reply.Records_), RecordSet::Changes);
}

/// Records how a reply was received, before NextOffset_ advances past it.
void TopicFollower::updateStatistics(const ReadReply &Reply) {
  if (Reply.End_ <= NextOffset_)
    return;
  const Duration SinceHint =
      HintedAt_ ? Time_.now() - *HintedAt_ : Duration::zero();
  Statistics_ = {Reply.Bytes_, Reply.ReceivingTime_, RepeatedReads_, SinceHint};
  RepeatedReads_ = 0;
  HintedAt_.reset();
}

/// Delivers the difference between the newest records and the known ones. After
/// a restoration, keys that are missing may only not be written again yet; they
/// are looked for once more.
void TopicFollower::deliverNewest(ReadReply Reply, RecordSet Set) {
  if (Set == RecordSet::Restored)
    RewriteTimer_ = Loop_.after(RewriteTime, [this] { readNewest(); });
  std::set<std::string_view> Present(Reply.UnreadableKeys_.begin(),
                                     Reply.UnreadableKeys_.end());
  for (const StoreRecord &Record : Reply.Records_)
    Present.insert(Record.Key_);
  std::vector<StoreRecord> Removed;
  for (auto &[Key, Last] : LastRecords_) {
    const bool IsRemoved = Set == RecordSet::Changes && Last.Exists_ &&
                           Last.Offset_ < Reply.End_ && !Present.contains(Key);
    if (!IsRemoved)
      continue;
    Last.Exists_ = false;
    Removed.push_back({Key, "", Last.Offset_});
  }
  if (!Removed.empty())
    OnRecords_(Removed, Set);
  deliver(std::move(Reply.Records_), Set);
}

void TopicFollower::deliver(std::vector<StoreRecord> Records, RecordSet Set) {
  std::erase_if(Records, [this](const StoreRecord &Record) {
    const auto Found = LastRecords_.find(Record.Key_);
    return Found != LastRecords_.end() &&
           Record.Offset_ <= Found->second.Offset_;
  });
  for (const StoreRecord &Record : Records)
    LastRecords_[Record.Key_] = {Record.Offset_, !Record.Value_.empty()};
  OnRecords_(Records, Set);
}

} // namespace lagoonhitch
