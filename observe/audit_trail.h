#ifndef LAGOONHITCH_OBSERVE_AUDIT_TRAIL_H
#define LAGOONHITCH_OBSERVE_AUDIT_TRAIL_H

/// \file
/// Keeps the most recent changes of ownership, configuration and upstream state
/// for operators.

#include "core/types.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One recorded change.
struct AuditEntry {
  /// The entry's number, by which readers filter.
  Offset Number_ = 0;
  /// Wall-clock time since the Unix epoch.
  std::chrono::milliseconds At_{0};
  /// The host that made the change; `who` in JSON.
  std::string Host_;
  /// The name of the event; `what` in JSON.
  std::string Event_;
  /// The host, upstream or other subject of the event.
  std::string Details_;
  /// The reason for the change; `why` in JSON.
  std::string Reason_;
};

/// A bounded list of the most recent changes. Thread-safe.
class AuditTrail {
public:
  /// \param Capacity the maximum number of entries.
  explicit AuditTrail(std::size_t Capacity);

  /// Adds an entry. Drops the oldest one if the capacity is exceeded.
  void add(AuditEntry Entry);

  /// Returns the entries whose number is not lower than the given one.
  std::vector<AuditEntry> since(Offset Number) const;

private:
  std::size_t Capacity_;
  mutable std::mutex Mutex_;
  std::deque<AuditEntry> Entries_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_AUDIT_TRAIL_H
