#include "ownership/table_change.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Returns whether all daemons that know the table before an offset know the
/// same rows, so that a change can be applied to it.
bool isNextOffset(const KeyTable &Before, Offset RecordOffset) {
  return isOfItsEra(Before) && *Before.Offset_ + 1 == RecordOffset;
}

} // namespace

std::optional<std::string> encodeChange(const KeyTable &Before,
                                        const KeyTable &After) {
  if (!After.Offset_ || !isNextOffset(Before, *After.Offset_))
    return std::nullopt;
  KeyTable Changed;
  Changed.Era_ = After.Era_;
  for (const KeyRow &Row : After.Rows_)
    if (std::find(Before.Rows_.begin(), Before.Rows_.end(), Row) ==
        Before.Rows_.end())
      Changed.Rows_.push_back(Row);
  std::string Text = encodeTable(Changed);
  const std::optional<KeyTable> Result =
      applyChange(Before, Text, *After.Offset_);
  if (!Result || Result->Era_ != After.Era_ || Result->Rows_ != After.Rows_)
    return std::nullopt;
  return Text;
}

std::optional<KeyTable> applyChange(const KeyTable &Before,
                                    const std::string &Text,
                                    Offset RecordOffset) {
  if (!isNextOffset(Before, RecordOffset))
    return std::nullopt;
  const std::optional<KeyTable> Changed = decodeTable(Text, RecordOffset);
  if (!Changed || Changed->Era_ != Before.Era_)
    return std::nullopt;
  KeyTable After = Before;
  After.Offset_ = RecordOffset;
  for (const KeyRow &Row : Changed->Rows_)
    assignKeys(After, Row);
  return After;
}

} // namespace lagoonhitch
