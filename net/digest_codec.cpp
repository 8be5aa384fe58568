#include "net/digest_codec.h"

#include <msgpack.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr std::size_t MaxDigestStringBytes = 256;
constexpr std::size_t MaxRecordStringBytes = 8192;
constexpr std::size_t MaxFields = 32;

using DigestFields =
    std::tuple<std::string, std::uint64_t, std::uint64_t, bool, bool, bool,
               std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t,
               std::uint64_t, std::uint32_t, std::uint32_t, std::uint64_t,
               std::uint64_t, std::uint64_t, std::uint32_t>;

using RecordFields =
    std::tuple<std::string, std::string, std::string, std::uint64_t>;

/// The numbers of a digest's work report: the fields of UpstreamWork, then
/// those of each hot key. They follow the array of the other fields, as daemons
/// that do not know them ignore what follows.
using WorkFields = std::vector<std::uint32_t>;

constexpr std::size_t FieldsOfWork = 4 + ReportedRanks;
constexpr std::size_t FieldsOfHotKey = 3;

/// Unpacks an array that consists of exactly the fields of T.
/// \param Position where the array begins; set to its end.
/// \returns whether the data has this form and is within the size limits.
template <typename T>
bool unpackFields(const char *Data, std::size_t Size,
                  std::size_t MaxStringBytes, T &Unpacked,
                  std::size_t &Position) {
  try {
    const msgpack::unpack_limit Limit(MaxFields, 0, MaxStringBytes, 0, 0, 2);
    const msgpack::object_handle Handle =
        msgpack::unpack(Data, Size, Position, nullptr, nullptr, Limit);
    if (Handle.get().type != msgpack::type::ARRAY ||
        Handle.get().via.array.size != std::tuple_size_v<T>)
      return false;
    Handle.get().convert(Unpacked);
    return true;
  } catch (const msgpack::unpack_error &) {
    return false;
  } catch (const msgpack::type_error &) {
    return false;
  }
}

WorkFields workFieldsOf(const LoadDigest &Digest) {
  const UpstreamWork &Work = Digest.Work_;
  WorkFields Fields = {Work.SlowdownPercent_, Work.CurrentSlowdownPercent_,
                       Work.FailurePercent_, Work.RemainingMillis_};
  Fields.insert(Fields.end(), Work.WaitMillis_.begin(), Work.WaitMillis_.end());
  const std::size_t HotKeys = std::min(Digest.HotKeys_.size(), MaxHotKeys);
  for (std::size_t Index = 0; Index < HotKeys; ++Index) {
    const HotKey &Hot = Digest.HotKeys_[Index];
    Fields.insert(Fields.end(),
                  {Hot.Key_, Hot.AdmittedPerSecond_, Hot.RequestedPerSecond_});
  }
  return Fields;
}

/// Sets the work report of a digest. Ignores fields of another form.
void applyWorkFields(const WorkFields &Fields, LoadDigest &Digest) {
  const bool Valid =
      Fields.size() >= FieldsOfWork &&
      (Fields.size() - FieldsOfWork) % FieldsOfHotKey == 0 &&
      Fields.size() <= FieldsOfWork + MaxHotKeys * FieldsOfHotKey;
  if (!Valid)
    return;
  UpstreamWork &Work = Digest.Work_;
  Work.SlowdownPercent_ = Fields[0];
  Work.CurrentSlowdownPercent_ = Fields[1];
  Work.FailurePercent_ = Fields[2];
  Work.RemainingMillis_ = Fields[3];
  std::copy_n(Fields.begin() + 4, ReportedRanks, Work.WaitMillis_.begin());
  for (std::size_t At = FieldsOfWork; At < Fields.size(); At += FieldsOfHotKey)
    if (Fields[At] <= LastKey)
      Digest.HotKeys_.push_back(
          {static_cast<KeyId>(Fields[At]), Fields[At + 1], Fields[At + 2]});
}

/// Sets the work report of a digest if there is one.
/// \returns false if what follows the other fields is malformed.
bool unpackWork(const char *Data, std::size_t Size, std::size_t Position,
                LoadDigest &Digest) {
  if (Position >= Size)
    return true;
  try {
    const msgpack::unpack_limit Limit(MaxFields, 0, 0, 0, 0, 2);
    const msgpack::object_handle Handle =
        msgpack::unpack(Data, Size, Position, nullptr, nullptr, Limit);
    applyWorkFields(Handle.get().as<WorkFields>(), Digest);
    return true;
  } catch (const msgpack::unpack_error &) {
    return false;
  } catch (const msgpack::type_error &) {
    return false;
  }
}

} // namespace

std::string encodeDigest(const LoadDigest &Digest) {
  const DigestFields Packed = {
      Digest.Host_,          Digest.Process_,
      Digest.Sequence_,      Digest.Accepting_,
      Digest.Stopping_,      Digest.RecentlyGainedKeys_,
      Digest.Running_,       Digest.Queued_,
      Digest.Slots_,         Digest.ProcessingMillis_,
      Digest.KeyEpoch_,      Digest.KeyRate_,
      Digest.RateLimit_,     Digest.ConfigEnd_,
      Digest.MembersEnd_,    Digest.TableEnd_,
      Digest.IntervalMillis_};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Packed);
  msgpack::pack(Buffer, workFieldsOf(Digest));
  return {Buffer.data(), Buffer.size()};
}

std::optional<LoadDigest> decodeDigest(const char *Data, std::size_t Size) {
  DigestFields Unpacked;
  std::size_t Position = 0;
  if (!unpackFields(Data, Size, MaxDigestStringBytes, Unpacked, Position))
    return std::nullopt;
  LoadDigest Digest;
  std::tie(Digest.Host_, Digest.Process_, Digest.Sequence_, Digest.Accepting_,
           Digest.Stopping_, Digest.RecentlyGainedKeys_, Digest.Running_,
           Digest.Queued_, Digest.Slots_, Digest.ProcessingMillis_,
           Digest.KeyEpoch_, Digest.KeyRate_, Digest.RateLimit_,
           Digest.ConfigEnd_, Digest.MembersEnd_, Digest.TableEnd_,
           Digest.IntervalMillis_) = Unpacked;
  if (!unpackWork(Data, Size, Position, Digest))
    return std::nullopt;
  return Digest;
}

std::string encodePushedRecord(const PushedRecord &Pushed) {
  const RecordFields Packed = {Pushed.Topic_, Pushed.Record_.Key_,
                               Pushed.Record_.Value_, Pushed.Record_.Offset_};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Packed);
  return {Buffer.data(), Buffer.size()};
}

std::optional<PushedRecord> decodePushedRecord(const char *Data,
                                               std::size_t Size) {
  RecordFields Unpacked;
  std::size_t Position = 0;
  if (!unpackFields(Data, Size, MaxRecordStringBytes, Unpacked, Position))
    return std::nullopt;
  PushedRecord Pushed;
  std::tie(Pushed.Topic_, Pushed.Record_.Key_, Pushed.Record_.Value_,
           Pushed.Record_.Offset_) = Unpacked;
  return Pushed;
}

} // namespace lagoonhitch
