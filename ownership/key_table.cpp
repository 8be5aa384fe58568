#include "ownership/key_table.h"

#include "core/received_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

bool startsAfter(KeyId Key, const KeyRow &Row) {
  return Key < Row.Range_.First_;
}

bool canMerge(const KeyRow &Left, const KeyRow &Right) {
  return Left.Range_.Last_ + 1 == Right.Range_.First_ &&
         Left.Owner_ == Right.Owner_ && Left.Fence_ == Right.Fence_ &&
         Left.Handover_ == Right.Handover_;
}

bool isOrdered(const std::vector<KeyRow> &Rows) {
  for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
    const KeyRange &Range = Rows[Index].Range_;
    if (Range.First_ > Range.Last_ || Range.Last_ > LastKey)
      return false;
    if (Index > 0 && Rows[Index - 1].Range_.Last_ >= Range.First_)
      return false;
  }
  return true;
}

KeyRow withRange(KeyRow Row, const KeyRange &Range) {
  Row.Range_ = Range;
  return Row;
}

/// Encodes an owner as [host, upstream, born, epoch]. Each owner is written
/// once per table.
Json encodeOwner(const KeyOwner &Owner) {
  return Json::array(
      {Owner.Host_, Owner.Upstream_, Owner.StartMillis_, Owner.Epoch_});
}

KeyOwner decodeOwner(const Json &Source) {
  KeyOwner Owner;
  Source.at(0).get_to(Owner.Host_);
  Source.at(1).get_to(Owner.Upstream_);
  Owner.StartMillis_ = decodeUnixMillis(Source.at(2));
  Owner.Epoch_ = decodeUnsigned<std::uint64_t>(Source.at(3));
  return Owner;
}

/// Decodes a row: [first, last, index of the owner, fence, handover if any].
KeyRow decodeRow(const Json &Source, const std::vector<KeyOwner> &Owners) {
  KeyRow Row;
  Row.Range_.First_ = decodeUnsigned<KeyId>(Source.at(0));
  Row.Range_.Last_ = decodeUnsigned<KeyId>(Source.at(1));
  Row.Owner_ = Owners.at(decodeUnsigned<std::size_t>(Source.at(2)));
  Row.Fence_ = decodeUnsigned<FencingToken>(Source.at(3));
  if (Source.size() > 4)
    Source.at(4).get_to(Row.Handover_);
  return Row;
}

} // namespace

bool sameIncarnation(const KeyOwner &Left, const KeyOwner &Right) {
  return Left.Host_ == Right.Host_ && Left.Upstream_ == Right.Upstream_ &&
         Left.StartMillis_ == Right.StartMillis_;
}

const KeyRow *findRow(const KeyTable &Table, KeyId Key) {
  const auto After = std::upper_bound(Table.Rows_.begin(), Table.Rows_.end(),
                                      Key, startsAfter);
  if (After == Table.Rows_.begin())
    return nullptr;
  const KeyRow &Row = *std::prev(After);
  return contains(Row.Range_, Key) ? &Row : nullptr;
}

std::vector<KeyRow> rowsOf(const KeyTable &Table, const std::string &Host) {
  std::vector<KeyRow> Rows;
  for (const KeyRow &Row : Table.Rows_)
    if (Row.Owner_.Host_ == Host)
      Rows.push_back(Row);
  return Rows;
}

std::vector<KeyRange> keysNotIn(const std::vector<KeyRow> &Others,
                                const std::vector<KeyRow> &Rows) {
  std::vector<KeyRange> Missing;
  for (const KeyRow &Row : Rows) {
    // Others are sorted by key, without overlaps.
    std::uint64_t Next = Row.Range_.First_;
    for (const KeyRow &Other : Others) {
      if (!overlaps(Other.Range_, Row.Range_))
        continue;
      if (Next < Other.Range_.First_)
        Missing.push_back({static_cast<KeyId>(Next), Other.Range_.First_ - 1});
      Next = std::uint64_t{Other.Range_.Last_} + 1;
    }
    if (Next <= Row.Range_.Last_)
      Missing.push_back({static_cast<KeyId>(Next), Row.Range_.Last_});
  }
  return Missing;
}

void assignKeys(KeyTable &Table, const KeyRow &Row) {
  std::vector<KeyRow> Rows;
  for (const KeyRow &Old : Table.Rows_) {
    if (!overlaps(Old.Range_, Row.Range_)) {
      Rows.push_back(Old);
      continue;
    }
    if (Old.Range_.First_ < Row.Range_.First_) {
      KeyRow Left = Old;
      Left.Range_.Last_ = Row.Range_.First_ - 1;
      Rows.push_back(Left);
    }
    if (Old.Range_.Last_ > Row.Range_.Last_) {
      KeyRow Right = Old;
      Right.Range_.First_ = Row.Range_.Last_ + 1;
      Rows.push_back(Right);
    }
  }
  Rows.push_back(Row);
  std::sort(Rows.begin(), Rows.end(),
            [](const KeyRow &Left, const KeyRow &Right) {
              return Left.Range_.First_ < Right.Range_.First_;
            });
  Table.Rows_ = std::move(Rows);
}

void mergeRows(KeyTable &Table) {
  std::vector<KeyRow> Rows;
  for (const KeyRow &Row : Table.Rows_) {
    if (!Rows.empty() && canMerge(Rows.back(), Row))
      Rows.back().Range_.Last_ = Row.Range_.Last_;
    else
      Rows.push_back(Row);
  }
  Table.Rows_ = std::move(Rows);
}

bool isOfItsEra(const KeyTable &Table) {
  return Table.Offset_ && Table.Era_ == eraOf(*Table.Offset_);
}

KeyTable combineTables(const KeyTable &Known, const KeyTable &Read) {
  KeyTable Combined = Known;
  Combined.Offset_ = Read.Offset_;
  Combined.Era_ = std::max(Known.Era_, Read.Era_);
  for (const KeyRow &Row : Read.Rows_) {
    KeyId Next = Row.Range_.First_;
    for (const KeyRow &Other : Known.Rows_) {
      const bool KeepsOther =
          overlaps(Other.Range_, Row.Range_) && Other.Fence_ >= Row.Fence_;
      if (!KeepsOther)
        continue;
      if (Other.Range_.First_ > Next)
        assignKeys(Combined, withRange(Row, {Next, Other.Range_.First_ - 1}));
      Next = std::max(Next, Other.Range_.Last_ + 1);
    }
    if (Next <= Row.Range_.Last_)
      assignKeys(Combined, withRange(Row, {Next, Row.Range_.Last_}));
  }
  mergeRows(Combined);
  return Combined;
}

KeyTable updatedTable(const KeyTable &Known, const KeyTable &Read) {
  return isOfItsEra(Read) ? Read : combineTables(Known, Read);
}

std::string encodeTable(const KeyTable &Table) {
  std::vector<KeyOwner> Owners;
  Json OwnerArray = Json::array();
  Json RowArray = Json::array();
  for (const KeyRow &Row : Table.Rows_) {
    const auto Found = std::find(Owners.begin(), Owners.end(), Row.Owner_);
    const std::size_t OwnerIndex =
        static_cast<std::size_t>(std::distance(Owners.begin(), Found));
    if (Found == Owners.end()) {
      Owners.push_back(Row.Owner_);
      OwnerArray.push_back(encodeOwner(Row.Owner_));
    }
    Json Entry = Json::array(
        {Row.Range_.First_, Row.Range_.Last_, OwnerIndex, Row.Fence_});
    if (!Row.Handover_.empty())
      Entry.push_back(Row.Handover_);
    RowArray.push_back(std::move(Entry));
  }
  Json Encoded = {{"owners", std::move(OwnerArray)},
                  {"rows", std::move(RowArray)}};
  if (Table.Era_ != StoreEra())
    Encoded["era"] = static_cast<std::uint32_t>(Table.Era_);
  return dumpReplacingInvalid(Encoded);
}

std::optional<KeyTable> decodeTable(const std::string &Text,
                                    Offset RecordOffset) {
  try {
    const Json Source = parseReceivedJson(Text);
    std::vector<KeyOwner> Owners;
    for (const Json &Owner : Source.at("owners"))
      Owners.push_back(decodeOwner(Owner));
    KeyTable Table;
    Table.Offset_ = RecordOffset;
    Table.Era_ = static_cast<StoreEra>(
        unsignedOrDefault<std::uint32_t>(Source, "era", 0));
    for (const Json &Row : Source.at("rows"))
      Table.Rows_.push_back(decodeRow(Row, Owners));
    if (!isOrdered(Table.Rows_))
      return std::nullopt;
    return Table;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace lagoonhitch
