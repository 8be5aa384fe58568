#include "net/digest_codec.h"

#include <msgpack.hpp>

#include <tuple>

namespace lagoonhitch {

namespace {

constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxFields = 32;

using Fields =
    std::tuple<std::string, std::uint64_t, std::uint64_t, bool, bool, bool,
               std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t,
               std::uint64_t, std::uint32_t, std::uint32_t, std::uint64_t,
               std::uint64_t, std::uint64_t>;

} // namespace

std::string encodeDigest(const LoadDigest &Digest) {
  const Fields Packed = {
      Digest.Host_,       Digest.Process_,   Digest.Sequence_,
      Digest.Accepts_,    Digest.Stopping_,  Digest.Settling_,
      Digest.Running_,    Digest.Queued_,    Digest.Slots_,
      Digest.WorkMillis_, Digest.KeyEpoch_,  Digest.KeyRate_,
      Digest.ColdRate_,   Digest.ConfigEnd_, Digest.MembersEnd_,
      Digest.TableEnd_};
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Packed);
  return {Buffer.data(), Buffer.size()};
}

std::optional<LoadDigest> decodeDigest(const char *Data, std::size_t Size) {
  try {
    const msgpack::unpack_limit Limit(MaxFields, 0, MaxNameBytes, 0, 0, 2);
    const msgpack::object_handle Handle =
        msgpack::unpack(Data, Size, nullptr, nullptr, Limit);
    Fields Unpacked;
    if (Handle.get().type != msgpack::type::ARRAY ||
        Handle.get().via.array.size != std::tuple_size_v<Fields>)
      return std::nullopt;
    Handle.get().convert(Unpacked);
    LoadDigest Digest;
    std::tie(Digest.Host_, Digest.Process_, Digest.Sequence_, Digest.Accepts_,
             Digest.Stopping_, Digest.Settling_, Digest.Running_,
             Digest.Queued_, Digest.Slots_, Digest.WorkMillis_,
             Digest.KeyEpoch_, Digest.KeyRate_, Digest.ColdRate_,
             Digest.ConfigEnd_, Digest.MembersEnd_, Digest.TableEnd_) =
        Unpacked;
    return Digest;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace lagoonhitch
