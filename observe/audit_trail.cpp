#include "observe/audit_trail.h"

#include <utility>

namespace lagoonhitch {

AuditTrail::AuditTrail(std::size_t Capacity) : Capacity_(Capacity) {}

void AuditTrail::add(AuditEntry Entry) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Entries_.push_back(std::move(Entry));
  if (Entries_.size() > Capacity_)
    Entries_.pop_front();
}

std::vector<AuditEntry> AuditTrail::since(Offset Number) const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<AuditEntry> Found;
  for (const AuditEntry &Entry : Entries_)
    if (Entry.Number_ >= Number)
      Found.push_back(Entry);
  return Found;
}

} // namespace lagoonhitch
