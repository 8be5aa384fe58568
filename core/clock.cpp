#include "core/clock.h"

namespace lagoonhitch {

std::chrono::milliseconds toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span);
}

} // namespace lagoonhitch
