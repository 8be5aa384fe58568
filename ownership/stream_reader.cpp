#include "ownership/stream_reader.h"

#include "ownership/apply.h"

namespace lagoonhitch {

namespace {

bool coversBuffer(const StreamReader &Reader, Offset Next) {
  return !Reader.Buffered_.empty() && Next >= Reader.Buffered_.front().first;
}

std::vector<std::pair<Offset, Record>>
startAtCheckpoint(StreamReader &Reader, const Record::Checkpoint &Start) {
  std::vector<std::pair<Offset, Record>> Effective;
  Reader.Table_ = Start.Table_;
  Reader.Synced_ = true;
  for (const auto &[At, Entry] : Reader.Buffered_)
    if (At >= Reader.Table_.Next_ && apply(Reader.Table_, Entry, At))
      Effective.emplace_back(At, Entry);
  Reader.Buffered_.clear();
  return Effective;
}

} // namespace

Offset nextOffset(const StreamReader &Reader) {
  if (Reader.Synced_ || Reader.Buffered_.empty())
    return Reader.Table_.Next_;
  return Reader.Buffered_.back().first + 1;
}

void noteFirstOffset(StreamReader &Reader, Offset First) {
  if (First == 0 && !Reader.Synced_ && Reader.Table_.Next_ == 0) {
    Reader.Synced_ = true;
    return;
  }
  if (First <= nextOffset(Reader))
    return;
  Reader.Synced_ = false;
  Reader.Buffered_.clear();
  Reader.Table_.Next_ = First;
}

std::vector<std::pair<Offset, Record>> feed(StreamReader &Reader, Offset At,
                                            const Record &Entry) {
  if (Reader.Synced_) {
    if (At < Reader.Table_.Next_ || !apply(Reader.Table_, Entry, At))
      return {};
    return {{At, Entry}};
  }
  Reader.Buffered_.emplace_back(At, Entry);
  const Record::Checkpoint *Start =
      std::get_if<Record::Checkpoint>(&Entry.Body_);
  if (Start == nullptr || !coversBuffer(Reader, Start->Table_.Next_))
    return {};
  return startAtCheckpoint(Reader, *Start);
}

} // namespace lagoonhitch
