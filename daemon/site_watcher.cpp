#include "daemon/site_watcher.h"

#include "net/io_loop.h"
#include "ownership/table_change.h"
#include "platform/platform_codec.h"

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

} // namespace

std::string tableTopic(const std::string &Service) {
  return std::string(KeyedPrefix) + "keys." + Service;
}

SiteWatch::SiteWatch(IoLoop &Loop, const Clock &Time, Store &Source,
                     SiteState &Site, std::string OwnHost, SiteReports Reports)
    : Loop_(Loop), Time_(Time), Source_(Source), Site_(Site),
      OwnHost_(std::move(OwnHost)), Reports_(std::move(Reports)),
      Operators_(Loop, Time, Source, OperatorTopic, FollowMode::Wait,
                 [this](const std::vector<StoreRecord> &Records, bool Whole) {
                   onOperatorRecords(Records, Whole);
                 }),
      Members_(Loop, Time, Source, MembersTopic, FollowMode::Passed,
               [this](const std::vector<StoreRecord> &Records, bool) {
                 onMemberRecords(Records);
               }) {}

void SiteWatch::start() {
  Operators_.start();
  Members_.start();
}

void SiteWatch::hint(const LoadDigest &Digest) {
  Operators_.hint(Digest.ConfigEnd_);
  Members_.hint(Digest.MembersEnd_);
  const FleetMember *Member = findMember(Site_.Fleet_, Digest.Host_);
  if (Member == nullptr)
    return;
  const auto Table = Tables_.find(Member->Record_.Service_);
  if (Table != Tables_.end())
    Table->second->hint(Digest.TableEnd_);
}

void SiteWatch::hintTable(const std::string &Service, Offset End) {
  const auto Table = Tables_.find(Service);
  if (Table != Tables_.end())
    Table->second->hint(End);
}

void SiteWatch::takeRecord(const std::string &Topic,
                           const StoreRecord &Record) {
  if (Topic == MembersTopic) {
    Members_.take(Record, false);
    // Records before it may be of members that did not know of this daemon.
    Members_.hint(Record.Offset_ + 1);
    return;
  }
  for (const auto &[Service, Follower] : Tables_)
    if (tableTopic(Service) == Topic)
      takeTable(Service, *Follower, Record);
}

void SiteWatch::takeTable(const std::string &Service, TopicFollower &Follower,
                          const StoreRecord &Record) {
  if (Record.Key_ != TableChangeKey) {
    // A table's topic has one key, so each record says all.
    Follower.take(Record, true);
    return;
  }
  Changes_[Service][Record.Offset_] = Record.Value_;
  applyChanges(Service, Follower);
}

/// Applies the changes that follow the table as it is known. Those that came
/// too early are kept until the ones before them come, or a read.
void SiteWatch::applyChanges(const std::string &Service,
                             TopicFollower &Follower) {
  constexpr std::size_t MostKept = 64;
  std::map<Offset, std::string> &Changes = Changes_[Service];
  const KeyTable &Known = Site_.Tables_[Service];
  while (Known.Offset_) {
    Changes.erase(Changes.begin(), Changes.upper_bound(*Known.Offset_));
    const auto Next = Changes.find(*Known.Offset_ + 1);
    if (Next == Changes.end())
      break;
    const Offset At = Next->first;
    const std::optional<KeyTable> Made = applyChange(Known, Next->second, At);
    Changes.erase(Next);
    if (!Made)
      break;
    Follower.take({TableKey, encodeTable(*Made), At}, true);
  }
  while (Changes.size() > MostKept)
    Changes.erase(Changes.begin());
  if (!Changes.empty())
    Follower.hint(Changes.rbegin()->first + 1);
}

void SiteWatch::writeEnds(LoadDigest &Digest,
                          const std::string &OwnService) const {
  Digest.ConfigEnd_ = Operators_.end();
  Digest.MembersEnd_ = Members_.end();
  const auto Table = Tables_.find(OwnService);
  if (Table != Tables_.end())
    Digest.TableEnd_ = Table->second->end();
}

void SiteWatch::onOperatorRecords(const std::vector<StoreRecord> &Records,
                                  bool Whole) {
  std::set<std::string> Zones;
  if (!Whole)
    Zones = Site_.Fleet_.EvacuatedZones_;
  for (const StoreRecord &Record : Records) {
    if (Record.Key_ == ManifestKey) {
      std::optional<Manifest> Decoded = decodeManifest(Record.Value_);
      if (Decoded)
        applyManifest(std::move(*Decoded));
      else
        Reports_.Event_(EventId::ConfigUnreadable,
                        std::to_string(Record.Offset_));
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
  Reports_.Event_(EventId::EvacuationChanged, joinNames(Zones));
  Reports_.Evacuations_();
}

void SiteWatch::applyManifest(Manifest Decoded) {
  const bool Newer = Site_.Manifest_ == nullptr ||
                     Decoded.Version_ > Site_.Manifest_->Version_;
  if (!Newer)
    return;
  Reports_.Event_(EventId::ConfigApplied, std::to_string(Decoded.Version_));
  Site_.Manifest_ = std::make_shared<const Manifest>(std::move(Decoded));
  followTables();
  Reports_.Manifest_();
}

void SiteWatch::followTables() {
  for (const auto &[Name, Spec] : Site_.Manifest_->Services_) {
    if (!Spec.Sharded_ || Tables_.contains(Name))
      continue;
    const std::string Service = Name;
    Tables_[Name] = std::make_unique<TopicFollower>(
        Loop_, Time_, Source_, tableTopic(Name), FollowMode::Passed,
        [this, Service](const std::vector<StoreRecord> &Records, bool) {
          onTableRecords(Service, Records);
        });
    Tables_[Name]->start();
  }
}

void SiteWatch::onMemberRecords(const std::vector<StoreRecord> &Records) {
  const Instant Now = Time_.now();
  for (const StoreRecord &Record : Records) {
    if (Record.Key_ == OwnHost_)
      continue;
    const std::optional<MemberRecord> Member = decodeMember(Record.Value_);
    if (!Member || Member->Host_ != Record.Key_) {
      Reports_.Event_(EventId::RecordUnreadable, Record.Key_);
      continue;
    }
    applyRecord(Site_.Fleet_, *Member, Now);
  }
  Reports_.Changed_();
}

void SiteWatch::onTableRecords(const std::string &Service,
                               const std::vector<StoreRecord> &Records) {
  std::optional<KeyTable> Newest;
  for (const StoreRecord &Record : Records) {
    std::optional<KeyTable> Table = decodeTable(Record.Value_, Record.Offset_);
    if (!Table) {
      Reports_.Event_(EventId::RecordUnreadable, Service);
      continue;
    }
    Newest = std::move(Table);
  }
  KeyTable &Known = Site_.Tables_[Service];
  if (Newest && (!Known.Offset_ || *Newest->Offset_ > *Known.Offset_))
    Known = *Newest;
  Reports_.Table_(Service, Newest, Tables_.at(Service)->end());
  Reports_.Changed_();
  if (!Changes_[Service].empty())
    Loop_.post(
        [this, Service] { applyChanges(Service, *Tables_.at(Service)); });
}

} // namespace lagoonhitch
