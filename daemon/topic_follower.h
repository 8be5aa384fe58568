#ifndef LAGOONHITCH_DAEMON_TOPIC_FOLLOWER_H
#define LAGOONHITCH_DAEMON_TOPIC_FOLLOWER_H

/// \file
/// Reads a topic that keeps the newest record of each key, and follows it.

#include "core/clock.h"
#include "store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

class IoLoop;

/// How a TopicFollower learns of new records.
enum class FollowMode {
  /// By long polling: there is always a read that waits for new records.
  LongPoll,
  /// Peers push new records; the store is read only if one was missed. Calls
  /// to the store are billed, and with long polling each change would cost one
  /// call per daemon.
  Pushed,
};

/// How the last records of a topic were received.
struct ReadStatistics {
  /// Size of the reply that contained them.
  std::size_t Bytes_ = 0;
  /// Time from the first received byte of that reply to its end.
  Duration ReceivingTime_{};
  /// Reads that were repeated before a reply with new records arrived.
  std::uint32_t RepeatedReads_ = 0;
  /// Time since a peer first reported that the topic extends beyond what was
  /// known; zero if none did.
  Duration SinceHint_{};
};

/// What the records are that a TopicFollower delivers.
enum class RecordSet {
  /// What has changed since the records that were delivered before. Keys that
  /// no longer exist have a record without a value.
  Changes,
  /// The newest record of each key in a copy of the topic that the store was
  /// restored from. Later ones may have been lost, and be written again.
  Restored,
};

/// Reads the newest record of each key, then follows the topic. A record that
/// is not newer than one already delivered for its key is dropped, so a stale
/// read has no effect.
class TopicFollower {
public:
  /// Receives new records.
  using RecordsCallback = std::function<void(
      const std::vector<StoreRecord> &Records, RecordSet Set)>;

  /// Returns how long a long poll waits for new records.
  /// \param ReadNumber counts the reads.
  using PollTimeout =
      std::function<std::chrono::milliseconds(std::uint64_t ReadNumber)>;

  /// \param OnRecords receives the records on the loop's thread.
  /// \param Timeout how long long polls wait; not used in the other mode.
  TopicFollower(IoLoop &Loop, const Clock &Time, Store &Source,
                std::string Topic, FollowMode Mode, RecordsCallback OnRecords,
                PollTimeout Timeout = longestPollTimeout);

  /// Returns the longest time that a long poll may wait.
  static std::chrono::milliseconds longestPollTimeout(std::uint64_t ReadNumber);

  /// Starts reading.
  void start();

  /// Reports that the store was restored from an older copy. Reads what the
  /// topic has now.
  void onStoreRestored();

  /// Reports that the topic extends at least to End. Reads again if the records
  /// up to there do not arrive otherwise.
  void hintEnd(Offset End);

  /// Handles a record pushed by a peer.
  /// \param Snapshot whether the record alone is the topic's whole content, so
  /// that earlier records need not be read.
  void onPushedRecord(const StoreRecord &Record, bool Snapshot);

  /// Notes that the record of a key is known from elsewhere and is the topic's
  /// whole content.
  void skipRecord(const std::string &Key, Offset RecordOffset);

  /// Returns the offset after the last record that is known without a gap.
  Offset nextOffset() const { return NextOffset_; }

  /// Returns how the last new records were received. Valid while records are
  /// delivered.
  const ReadStatistics &statistics() const { return Statistics_; }

  /// Returns whether the topic has been read at least once.
  bool isLoaded() const { return Loaded_; }

private:
  void readNewest();
  void readNext();
  void readIfBehind();
  bool isReplyOverdue() const;
  bool mayReplyArrive();
  bool noteReceivedBytes();
  void continueReading();
  void onNewest(ReadReply Reply);
  void onRead(ReadReply Reply);
  void onEarlierRead(ReadReply Reply);
  void advanceTo(Offset Next);
  void updateStatistics(const ReadReply &Reply);
  void deliverNewest(ReadReply Reply, RecordSet Set);
  void deliver(std::vector<StoreRecord> Records, RecordSet Set);
  void schedule(Duration Delay, void (TopicFollower::*Step)());

  IoLoop &Loop_;
  const Clock &Time_;
  Store &Source_;
  std::string Topic_;
  FollowMode Mode_;
  RecordsCallback OnRecords_;
  PollTimeout Timeout_;
  Offset NextOffset_ = 0;
  /// Offsets after a gap at NextOffset_ whose records were pushed.
  std::set<Offset> PushedAhead_;
  /// Lower bound of the topic's end, as reported by hintEnd().
  Offset HintedEnd_ = 0;
  bool Reading_ = false;
  /// Whether the newest record of each key is being read.
  bool ReadingNewest_ = false;
  bool Loaded_ = false;
  /// Number of the last read. Replies to earlier ones are used only for the
  /// records in them.
  std::uint64_t ReadNumber_ = 0;
  Instant ReadStartedAt_ = Instant::min();
  /// Reads without a reply, by their number.
  std::map<std::uint64_t, Store::ReadHandle> OpenReads_;
  /// How much of the replies to them had arrived when last looked at.
  std::size_t ReceivedBytes_ = 0;
  /// When a part of a reply was last seen to have arrived.
  Instant ReceivedAt_ = Instant::min();
  /// When the first part of a reply was seen to have arrived.
  Instant ArrivingSince_ = Instant::min();
  /// The hinted end for which a reply was overdue. It causes one more read.
  Offset OverdueEnd_ = 0;
  /// Time without a read and without a part of a reply from which a hint causes
  /// another read.
  Duration RereadDelay_;
  std::uint32_t Failures_ = 0;
  ReadStatistics Statistics_;
  /// Reads that were repeated since new records last arrived.
  std::uint32_t RepeatedReads_ = 0;
  /// When a peer first reported an end beyond NextOffset_.
  std::optional<Instant> HintedAt_;
  /// The last delivered record of a key.
  struct LastRecord {
    Offset Offset_ = 0;
    /// Whether it had a value.
    bool Exists_ = false;
  };
  std::map<std::string, LastRecord> LastRecords_;
  /// Reads the newest records again once lost ones have been rewritten.
  std::shared_ptr<void> RewriteTimer_;
  std::shared_ptr<void> Timer_;
  std::shared_ptr<void> HintTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_TOPIC_FOLLOWER_H
