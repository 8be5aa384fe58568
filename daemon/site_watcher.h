#ifndef LAGOONHITCH_DAEMON_SITE_WATCHER_H
#define LAGOONHITCH_DAEMON_SITE_WATCHER_H

/// \file
/// Keeps a daemon's view of its site up to date with the store.

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

/// The topic of members.
inline constexpr const char *MembersTopic = "keyed.members";

/// Key of the record that holds a whole table.
inline constexpr const char *TableKey = "table";

/// Key under which daemons pass on the rows that have changed.
inline constexpr const char *TableChangeKey = "rows";

/// Returns the topic of a service's table.
std::string tableTopic(const std::string &Service);

/// What a SiteWatcher tells other parts.
struct SiteCallbacks {
  /// Another manifest is in force.
  std::function<void()> OnManifest_;
  /// Other zones are to get no requests.
  std::function<void()> OnEvacuationsChanged_;
  /// Members or tables have changed.
  std::function<void()> OnChanged_;
  /// A service's table was read, and where its topic ends.
  std::function<void(const std::string &Service,
                     const std::optional<KeyTable> &Table, Offset End)>
      OnTable_;
  std::function<void(EventId, const std::string &)> LogEvent_;
};

/// Follows the topics of operators, members and tables. Serving thread only.
class SiteWatcher {
public:
  /// \param OwnHost whose member record is passed over.
  SiteWatcher(IoLoop &Loop, const Clock &Time, Store &Source, SiteState &Site,
              std::string OwnHost, SiteCallbacks Callbacks);

  /// Starts reading.
  void start();

  /// Puts a manifest in force unless a newer one is.
  void applyManifest(Manifest Decoded);

  /// Takes the ends of topics that a peer has told.
  void applyTopicEnds(const LoadDigest &Digest);

  /// Notices that a service's table is newer than what is known.
  void hintTableEnd(const std::string &Service, Offset End);

  /// Takes a record that a peer has passed on.
  void onPushedRecord(const std::string &Topic, const StoreRecord &Record);

  /// Writes the ends of topics into a digest.
  void writeTopicEnds(LoadDigest &Digest, const std::string &OwnService) const;

private:
  void onOperatorRecords(const std::vector<StoreRecord> &Records,
                         bool Snapshot);
  void onMemberRecords(const std::vector<StoreRecord> &Records);
  void onTableRecords(const std::string &Service,
                      const std::vector<StoreRecord> &Records);
  void onPushedTable(const std::string &Service, TopicFollower &Follower,
                     const StoreRecord &Record);
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
  /// Changes that were passed on and wait for the ones before them, by service.
  std::map<std::string, std::map<Offset, std::string>> PendingChanges_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SITE_WATCHER_H
