#ifndef LAGOONHITCH_OBSERVE_AUDIT_TRAIL_H
#define LAGOONHITCH_OBSERVE_AUDIT_TRAIL_H

/// \file
/// Keeps the last changes of ownership for operators.

#include "core/types.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One accepted change.
struct AuditEntry {
  Offset Number_ = 0;
  std::chrono::milliseconds At_{0};
  /// The host that made the change.
  std::string Host_;
  std::string Event_;
  std::string Details_;
  std::string Reason_;
};

/// The last accepted changes, bounded. Thread-safe.
class AuditTrail {
public:
  /// \param Capacity the most entries kept.
  explicit AuditTrail(std::size_t Capacity);

  /// Adds an entry and drops the oldest if there is no room.
  void add(AuditEntry Entry);

  /// Returns the entries from a number on.
  std::vector<AuditEntry> since(Offset Number) const;

private:
  std::size_t Capacity_;
  mutable std::mutex Mutex_;
  std::deque<AuditEntry> Entries_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_AUDIT_TRAIL_H
