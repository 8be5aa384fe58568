#ifndef LAGOONHITCH_DAEMON_SITE_WATCHER_H
#define LAGOONHITCH_DAEMON_SITE_WATCHER_H

/// \file
/// Keeps a daemon's view of its site in sync with the store.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/site_state.h"
#include "daemon/topic_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

class IoLoop;
class Store;
struct LoadDigest;

/// Topic of the member records.
inline constexpr const char *MembersTopic = "keyed.members";

/// Key of a record that holds a complete table.
inline constexpr const char *TableKey = "table";

/// Key of a pushed record that holds only the changed rows of a table. Such
/// records are exchanged between daemons and are not in the store.
inline constexpr const char *TableChangeKey = "rows";

/// Topic of pushed member records whose crashes alone are used. They are sent
/// before the store has acknowledged the record, and are not in the store.
inline constexpr const char *CrashesTopic = "crashes";

/// Returns the topic of a service's key table.
std::string tableTopic(const std::string &Service);

/// Notifications from a SiteWatcher.
struct SiteCallbacks {
  /// A newer manifest was applied.
  std::function<void()> OnManifest_;
  /// The set of evacuated zones has changed.
  std::function<void()> OnEvacuationsChanged_;
  /// Members or tables may have changed.
  std::function<void()> OnChanged_;
  /// The table topic of a service was read.
  /// \param Table the newest table; std::nullopt if none was readable.
  /// \param End where the topic ends.
  std::function<void(const std::string &Service,
                     const std::optional<KeyTable> &Table, Offset End)>
      OnTable_;
  /// Logs an event and what it is about.
  std::function<void(EventId, const std::string &)> LogEvent_;
};

/// Follows the topics of operators, members and key tables, and updates the
/// SiteState. Serving thread only.
class SiteWatcher {
public:
  /// \param OwnHost this host; of its own member record only the crashes are
  /// read.
  SiteWatcher(IoLoop &Loop, const Clock &Time, Store &Source, SiteState &Site,
              std::string OwnHost, SiteCallbacks Callbacks);

  /// Starts reading.
  void start();

  /// Applies a manifest if its version is higher than the current one's.
  void applyManifest(Manifest Decoded);

  /// Reads all topics again, after the store was restored from an older copy.
  void onStoreRestored();

  /// Handles the topic ends in a peer's digest; topics that are behind them are
  /// read.
  void applyTopicEnds(const LoadDigest &Digest);

  /// Reports that the table topic of a service extends at least to End.
  void hintTableEnd(const std::string &Service, Offset End);

  /// Handles a record pushed by a peer, or written by this daemon.
  void onPushedRecord(const std::string &Topic, const StoreRecord &Record);

  /// Applies a table that is known from elsewhere, such as one that this daemon
  /// has appended.
  void applyTable(const std::string &Service, KeyTable Table);

  /// Writes the known ends of the topics into a digest.
  void writeTopicEnds(LoadDigest &Digest, const std::string &OwnService) const;

private:
  void onManifestRecord(const StoreRecord &Record);
  void onOperatorRecords(const std::vector<StoreRecord> &Records);
  void onMemberRecords(const std::vector<StoreRecord> &Records, RecordSet Set);
  void onTableRecords(const std::string &Service,
                      const std::vector<StoreRecord> &Records);
  void onPushedCrashes(const StoreRecord &Record);
  void onPushedTable(const std::string &Service, TopicFollower &Follower,
                     const StoreRecord &Record);
  void storeTable(const std::string &Service, KeyTable Table);
  void applyPendingLater(const std::string &Service);
  void applyPendingChanges(const std::string &Service, TopicFollower &Follower);
  void followTables();

  IoLoop &Loop_;
  const Clock &Time_;
  Store &Source_;
  SiteState &Site_;
  std::string OwnHost_;
  SiteCallbacks Callbacks_;
  TopicFollower OperatorFollower_;
  TopicFollower MemberFollower_;
  std::map<std::string, std::unique_ptr<TopicFollower>> TableFollowers_;
  /// Pushed table changes that wait for the changes before them, by service and
  /// offset.
  std::map<std::string, std::map<Offset, std::string>> PendingChanges_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SITE_WATCHER_H
