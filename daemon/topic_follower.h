#ifndef LAGOONHITCH_DAEMON_TOPIC_FOLLOWER_H
#define LAGOONHITCH_DAEMON_TOPIC_FOLLOWER_H

/// \file
/// Follows a topic that keeps the newest record of each key.

#include "core/clock.h"
#include "store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

class IoLoop;

/// How a TopicFollower learns of further records.
enum class FollowMode {
  /// A read always waits for them.
  LongPoll,
  /// Peers pass them on; it reads only where one was missed. Each call to the
  /// store is paid, and a change would otherwise cost one for each daemon.
  Pushed,
};

/// Reads the newest record of each key, then learns of further ones. A record
/// that is older than one already handed on is passed over, so a read that is
/// behind changes nothing.
class TopicFollower {
public:
  /// Takes new records. Where records may have been missed, Whole tells that
  /// keys that are not among them were dropped.
  using RecordsCallback = std::function<void(
      const std::vector<StoreRecord> &Records, bool Snapshot)>;

  TopicFollower(IoLoop &Loop, const Clock &Time, Store &Source,
                std::string Topic, FollowMode Mode, RecordsCallback OnRecords);

  /// Starts reading.
  void start();

  /// Notices that the topic ends at least there; reads anew if the read that
  /// waits should have told so.
  void hintEnd(Offset End);

  /// Takes a record that a peer has passed on.
  /// \param Whole whether the record says all that the topic holds.
  void onPushedRecord(const StoreRecord &Record, bool Snapshot);

  /// Returns where the topic ends as far as it was read.
  Offset nextOffset() const { return NextOffset_; }

  /// Returns whether the topic was read at least once.
  bool isLoaded() const { return Loaded_; }

private:
  void readNewest();
  void readNext();
  void readIfBehind();
  void continueReading();
  void onNewest(ReadReply Reply);
  void onRead(ReadReply Reply);
  void advanceTo(Offset Next);
  void deliver(std::vector<StoreRecord> Records, bool Snapshot);
  void schedule(Duration Delay, void (TopicFollower::*Step)());

  IoLoop &Loop_;
  const Clock &Time_;
  Store &Source_;
  std::string Topic_;
  FollowMode Mode_;
  RecordsCallback OnRecords_;
  Offset NextOffset_ = 0;
  /// Offsets beyond NextOffset_ whose records were passed on.
  std::set<Offset> PushedAhead_;
  /// Where the topic ends at least, as peers have told.
  Offset HintedEnd_ = 0;
  bool Reading_ = false;
  bool Loaded_ = false;
  /// Counts the reads; the answers to all but the last are passed over.
  std::uint64_t ReadNumber_ = 0;
  Instant ReadStartedAt_ = Instant::min();
  std::uint32_t Failures_ = 0;
  /// Offset of the last record handed on, by key.
  std::map<std::string, Offset> LastOffsets_;
  std::shared_ptr<void> Timer_;
  std::shared_ptr<void> HintTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_TOPIC_FOLLOWER_H
