#include "ownership/table.h"

#include <algorithm>

namespace lagoonhitch {

const Member *findMember(const Table &State, MemberId Id) {
  const std::map<MemberId, Member>::const_iterator Found =
      State.Members_.find(Id);
  return Found == State.Members_.end() ? nullptr : &Found->second;
}

const Shard *findShard(const Table &State, const std::string &Service,
                       ShardId Id) {
  const std::map<std::string, std::vector<Shard>>::const_iterator Found =
      State.Services_.find(Service);
  if (Found == State.Services_.end() || Id >= Found->second.size())
    return nullptr;
  return &Found->second[Id];
}

bool isRemoved(const Table &State, MemberId Id) {
  return Id <= State.Next_ && findMember(State, Id) == nullptr;
}

bool isSettled(const Member &One) {
  if (One.Seats_.Witnesses_.empty())
    return false;
  return !One.OldSeats_ || !One.OldSeats_->Witnesses_.empty();
}

bool holdsShards(const Table &State, MemberId Id) {
  for (const auto &[Name, Shards] : State.Services_)
    for (const Shard &One : Shards)
      if (One.Owner_ == Id || One.Target_ == Id)
        return true;
  return false;
}

std::size_t ownedShards(const Table &State, MemberId Id) {
  std::size_t Count = 0;
  for (const auto &[Name, Shards] : State.Services_)
    Count += static_cast<std::size_t>(
        std::count_if(Shards.begin(), Shards.end(),
                      [Id](const Shard &One) { return One.Owner_ == Id; }));
  return Count;
}

} // namespace lagoonhitch
