#include "net/digest_codec.h"

#include <msgpack.hpp>

#include <tuple>

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

/// Unpacks an array that consists of exactly the fields of T.
/// \returns whether the data has this form and is within the size limits.
template <typename T>
bool unpackFields(const char *Data, std::size_t Size,
                  std::size_t MaxStringBytes, T &Unpacked) {
  try {
    const msgpack::unpack_limit Limit(MaxFields, 0, MaxStringBytes, 0, 0, 2);
    const msgpack::object_handle Handle =
        msgpack::unpack(Data, Size, nullptr, nullptr, Limit);
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
  return {Buffer.data(), Buffer.size()};
}

std::optional<LoadDigest> decodeDigest(const char *Data, std::size_t Size) {
  DigestFields Unpacked;
  if (!unpackFields(Data, Size, MaxDigestStringBytes, Unpacked))
    return std::nullopt;
  LoadDigest Digest;
  std::tie(Digest.Host_, Digest.Process_, Digest.Sequence_, Digest.Accepting_,
           Digest.Stopping_, Digest.RecentlyGainedKeys_, Digest.Running_,
           Digest.Queued_, Digest.Slots_, Digest.ProcessingMillis_,
           Digest.KeyEpoch_, Digest.KeyRate_, Digest.RateLimit_,
           Digest.ConfigEnd_, Digest.MembersEnd_, Digest.TableEnd_,
           Digest.IntervalMillis_) = Unpacked;
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
  if (!unpackFields(Data, Size, MaxRecordStringBytes, Unpacked))
    return std::nullopt;
  PushedRecord Pushed;
  std::tie(Pushed.Topic_, Pushed.Record_.Key_, Pushed.Record_.Value_,
           Pushed.Record_.Offset_) = Unpacked;
  return Pushed;
}

} // namespace lagoonhitch
