#ifndef LAGOONHITCH_OWNERSHIP_STREAM_READER_H
#define LAGOONHITCH_OWNERSHIP_STREAM_READER_H

/// \file
/// Builds the table from the ownership stream, also from its middle.

#include "ownership/record.h"

#include <deque>
#include <utility>

namespace lagoonhitch {

/// Feeds records in offset order into a table. A reader that can't start at
/// the beginning of the stream, because records have expired, starts at a
/// checkpoint.
struct StreamReader {
  Table Table_;
  /// Whether the table holds all records before Table_.Next_.
  bool Synced_ = false;
  /// Records read while not synced, waiting for a checkpoint.
  std::deque<std::pair<Offset, Record>> Buffered_;
};

/// Returns the offset to read from next.
Offset nextOffset(const StreamReader &Reader);

/// Tells the reader that records before First have expired. If that leaves a
/// gap, the reader waits for a checkpoint.
void noteFirstOffset(StreamReader &Reader, Offset First);

/// Takes the next record.
/// \returns the records that had an effect now: usually this one or none,
/// more when a checkpoint ends the wait.
std::vector<std::pair<Offset, Record>> feed(StreamReader &Reader, Offset At,
                                            const Record &Entry);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_STREAM_READER_H
