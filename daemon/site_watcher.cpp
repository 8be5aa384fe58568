#include "daemon/site_watcher.h"

#include "daemon/crash_record.h"
#include "manifest/manifest_difference.h"
#include "membership/poll_schedule.h"
#include "net/io_loop.h"
#include "ownership/table_change.h"
#include "platform/platform_codec.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <utility>

namespace lagoonhitch {

namespace {

std::string joinNames(const std::set<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += Text.empty() ? Name : " " + Name;
  return Text;
}

std::string describeReading(std::uint64_t Version, const ReadStatistics &Read,
                            Duration DecodingTime) {
  return absl::StrCat(
      "version ", Version, ": ", Read.Bytes_, " bytes received in ",
      toMillis(Read.ReceivingTime_).count(), " ms, decoded in ",
      toMillis(DecodingTime).count(), " ms, ", Read.RepeatedReads_,
      " repeated reads, announced by a peer ",
      toMillis(Read.SinceHint_).count(), " ms before");
}

/// Describes a manifest by its version, and by the limits that differ from
/// those of the one before.
std::string describeManifest(const Manifest *Before, const Manifest &Applied) {
  std::string Text = std::to_string(Applied.Version_);
  if (Before == nullptr)
    return Text;
  for (const ManifestDifference &Limit :
       compareLimits(Before->Limits_, Applied.Limits_))
    absl::StrAppend(&Text, "; ", Limit.Place_, " from ", Limit.Before_, " to ",
                    Limit.After_);
  return Text;
}

} // namespace

std::string tableTopic(const std::string &Service) {
  return std::string(KeyedTopicPrefix) + "keys." + Service;
}

SiteWatcher::SiteWatcher(IoLoop &Loop, const Clock &Time, Store &Source,
                         SiteState &Site, std::string OwnHost,
                         SiteCallbacks Callbacks)
    : Loop_(Loop), Time_(Time), Source_(Source), Site_(Site),
      OwnHost_(std::move(OwnHost)), Callbacks_(std::move(Callbacks)),
      OperatorFollower_(
          Loop, Time, Source, OperatorTopic, FollowMode::LongPoll,
          [this](const std::vector<StoreRecord> &Records, RecordSet) {
            onOperatorRecords(Records);
          },
          [this](std::uint64_t ReadNumber) {
            return readTimeout(Site_.Fleet_, OwnHost_, ReadNumber, Time_.now());
          }),
      MemberFollower_(
          Loop, Time, Source, MembersTopic, FollowMode::Pushed,
          [this](const std::vector<StoreRecord> &Records, RecordSet Set) {
            onMemberRecords(Records, Set);
          }) {}

void SiteWatcher::start() {
  OperatorFollower_.start();
  MemberFollower_.start();
}

void SiteWatcher::onStoreRestored() {
  OperatorFollower_.onStoreRestored();
  MemberFollower_.onStoreRestored();
  for (const auto &[Service, Follower] : TableFollowers_)
    Follower->onStoreRestored();
}

void SiteWatcher::applyTopicEnds(const LoadDigest &Digest) {
  OperatorFollower_.hintEnd(Digest.ConfigEnd_);
  MemberFollower_.hintEnd(Digest.MembersEnd_);
  const FleetMember *Member = findMember(Site_.Fleet_, Digest.Host_);
  if (Member == nullptr)
    return;
  const auto Table = TableFollowers_.find(Member->Record_.Service_);
  if (Table != TableFollowers_.end())
    Table->second->hintEnd(Digest.TableEnd_);
}

void SiteWatcher::hintTableEnd(const std::string &Service, Offset End) {
  const auto Table = TableFollowers_.find(Service);
  if (Table != TableFollowers_.end())
    Table->second->hintEnd(End);
}

void SiteWatcher::onPushedRecord(const std::string &Topic,
                                 const StoreRecord &Record) {
  if (Topic == MembersTopic) {
    MemberFollower_.onPushedRecord(Record, false);
    // Earlier records may come from members that did not know this daemon yet
    // and so did not push them here.
    MemberFollower_.hintEnd(Record.Offset_ + 1);
    return;
  }
  if (Topic == CrashesTopic) {
    onPushedCrashes(Record);
    return;
  }
  for (const auto &[Service, Follower] : TableFollowers_)
    if (tableTopic(Service) == Topic)
      onPushedTable(Service, *Follower, Record);
}

void SiteWatcher::onPushedCrashes(const StoreRecord &Record) {
  const std::optional<MemberRecord> Member = decodeMember(Record.Value_);
  if (!Member) {
    Callbacks_.LogEvent_(EventId::RecordUnreadable, Record.Key_);
    return;
  }
  for (const UpstreamCrash &Crash : Member->Crashes_)
    recordCrash(Site_, Crash, Time_, Callbacks_.LogEvent_);
}

void SiteWatcher::onPushedTable(const std::string &Service,
                                TopicFollower &Follower,
                                const StoreRecord &Record) {
  if (Record.Key_ != TableChangeKey) {
    // A table topic has one key, so each record is the whole content.
    Follower.onPushedRecord(Record, true);
    return;
  }
  PendingChanges_[Service][Record.Offset_] = Record.Value_;
  applyPendingChanges(Service, Follower);
}

/// Applies the pending changes that directly follow the known table. Changes
/// after a gap are kept until the missing ones arrive or the table is read.
void SiteWatcher::applyPendingChanges(const std::string &Service,
                                      TopicFollower &Follower) {
  constexpr std::size_t MaxPendingChanges = 64;
  std::map<Offset, std::string> &Changes = PendingChanges_[Service];
  const KeyTable &Known = Site_.Tables_[Service];
  while (Known.Offset_) {
    Changes.erase(Changes.begin(), Changes.upper_bound(*Known.Offset_));
    const auto Next = Changes.find(*Known.Offset_ + 1);
    if (Next == Changes.end())
      break;
    const Offset At = Next->first;
    std::optional<KeyTable> Updated = applyChange(Known, Next->second, At);
    Changes.erase(Next);
    if (!Updated || !Follower.isLoaded())
      break;
    storeTable(Service, std::move(*Updated));
  }
  while (Changes.size() > MaxPendingChanges)
    Changes.erase(Changes.begin());
  if (!Changes.empty())
    Follower.hintEnd(Changes.rbegin()->first + 1);
}

void SiteWatcher::writeTopicEnds(LoadDigest &Digest,
                                 const std::string &OwnService) const {
  Digest.ConfigEnd_ = OperatorFollower_.nextOffset();
  Digest.MembersEnd_ = MemberFollower_.nextOffset();
  const auto Table = TableFollowers_.find(OwnService);
  if (Table != TableFollowers_.end())
    Digest.TableEnd_ = Table->second->nextOffset();
}

void SiteWatcher::onOperatorRecords(const std::vector<StoreRecord> &Records) {
  std::set<std::string> Zones = Site_.Fleet_.EvacuatedZones_;
  for (const StoreRecord &Record : Records) {
    if (Record.Key_ == ManifestKey) {
      // The manifest in force stays, whatever becomes of its record.
      if (!Record.Value_.empty())
        onManifestRecord(Record);
      continue;
    }
    const std::optional<std::string> Zone = evacuatedZone(Record.Key_);
    if (!Zone)
      continue;
    if (Record.Value_.empty())
      Zones.erase(*Zone);
    else
      Zones.insert(*Zone);
  }
  if (Zones == Site_.Fleet_.EvacuatedZones_)
    return;
  Site_.Fleet_.EvacuatedZones_ = Zones;
  Callbacks_.LogEvent_(EventId::EvacuationChanged, joinNames(Zones));
  Callbacks_.OnEvacuationsChanged_();
}

void SiteWatcher::onManifestRecord(const StoreRecord &Record) {
  const Instant StartedAt = Time_.now();
  std::string Fault;
  std::optional<Manifest> Decoded = decodeManifest(Record.Value_, &Fault);
  if (!Decoded) {
    Callbacks_.LogEvent_(EventId::ConfigUnreadable,
                         std::to_string(Record.Offset_) + ": " + Fault);
    return;
  }
  const std::uint64_t Version = Decoded->Version_;
  const Duration DecodingTime = Time_.now() - StartedAt;
  applyManifest(std::move(*Decoded));
  Callbacks_.LogEvent_(
      EventId::ConfigReceived,
      describeReading(Version, OperatorFollower_.statistics(), DecodingTime));
}

void SiteWatcher::applyManifest(Manifest Decoded) {
  const bool Newer = Site_.Manifest_ == nullptr ||
                     Decoded.Version_ > Site_.Manifest_->Version_;
  if (!Newer)
    return;
  Callbacks_.LogEvent_(EventId::ConfigApplied,
                       describeManifest(Site_.Manifest_.get(), Decoded));
  Site_.Manifest_ = std::make_shared<const Manifest>(std::move(Decoded));
  followTables();
  Callbacks_.OnManifest_();
}

void SiteWatcher::followTables() {
  for (const auto &[Name, Spec] : Site_.Manifest_->Services_) {
    if (!Spec.Sharded_ || TableFollowers_.contains(Name))
      continue;
    const std::string Service = Name;
    TableFollowers_[Name] = std::make_unique<TopicFollower>(
        Loop_, Time_, Source_, tableTopic(Name), FollowMode::Pushed,
        [this, Service](const std::vector<StoreRecord> &Records, RecordSet) {
          onTableRecords(Service, Records);
        });
    TableFollowers_[Name]->start();
  }
}

void SiteWatcher::onMemberRecords(const std::vector<StoreRecord> &Records,
                                  RecordSet Set) {
  const Instant Now = Time_.now();
  Site_.MembersRead_ = true;
  for (const StoreRecord &Record : Records) {
    // Members are not removed; hosts that are gone send no digests.
    if (Record.Value_.empty())
      continue;
    const std::optional<MemberRecord> Member = decodeMember(Record.Value_);
    if (!Member || Member->Host_ != Record.Key_) {
      Callbacks_.LogEvent_(EventId::RecordUnreadable, Record.Key_);
      continue;
    }
    for (const UpstreamCrash &Crash : Member->Crashes_)
      recordCrash(Site_, Crash, Time_, Callbacks_.LogEvent_);
    // The known record of a member may be newer than a restored one.
    const bool Outdated = Set == RecordSet::Restored &&
                          findMember(Site_.Fleet_, Record.Key_) != nullptr;
    if (Record.Key_ != OwnHost_) {
      if (!Outdated)
        applyRecord(Site_.Fleet_, *Member, Now);
      continue;
    }
    for (const UpstreamCrash &Crash : Member->Crashes_)
      mergeCrash(Site_.OwnCrashes_, Crash);
    Site_.OwnRecord_ = *Member;
  }
  Callbacks_.OnChanged_();
}

void SiteWatcher::applyTable(const std::string &Service, KeyTable Table) {
  storeTable(Service, std::move(Table));
  applyPendingLater(Service);
}

/// Applies pending changes of a table after the current event.
void SiteWatcher::applyPendingLater(const std::string &Service) {
  if (PendingChanges_[Service].empty())
    return;
  Loop_.post([this, Service] {
    applyPendingChanges(Service, *TableFollowers_.at(Service));
  });
}

void SiteWatcher::storeTable(const std::string &Service, KeyTable Table) {
  const auto Follower = TableFollowers_.find(Service);
  if (Follower == TableFollowers_.end())
    return;
  Follower->second->skipRecord(TableKey, *Table.Offset_);
  KeyTable &Known = Site_.Tables_[Service];
  if (!Known.Offset_ || *Table.Offset_ > *Known.Offset_)
    Known = updatedTable(Known, Table);
  Callbacks_.OnTable_(Service, Table, Follower->second->nextOffset());
  Callbacks_.OnChanged_();
}

void SiteWatcher::onTableRecords(const std::string &Service,
                                 const std::vector<StoreRecord> &Records) {
  std::optional<KeyTable> Newest;
  for (const StoreRecord &Record : Records) {
    if (Record.Value_.empty())
      continue;
    std::optional<KeyTable> Table = decodeTable(Record.Value_, Record.Offset_);
    if (!Table) {
      Callbacks_.LogEvent_(EventId::RecordUnreadable, Service);
      continue;
    }
    Newest = std::move(Table);
  }
  KeyTable &Known = Site_.Tables_[Service];
  if (Newest && (!Known.Offset_ || *Newest->Offset_ > *Known.Offset_))
    Known = updatedTable(Known, *Newest);
  Callbacks_.OnTable_(Service, Newest,
                      TableFollowers_.at(Service)->nextOffset());
  Callbacks_.OnChanged_();
  applyPendingLater(Service);
}

} // namespace lagoonhitch
