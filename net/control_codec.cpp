#include "net/control_codec.h"

#include <msgpack.hpp>

#include <tuple>

namespace lagoonhitch {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Each message is packed as the array of these fields.
template <typename T> auto fieldsOf(T &Body) {
  using Plain = std::remove_const_t<T>;
  if constexpr (std::is_same_v<Plain, LeaseMessage::Renew>)
    return std::tie(Body.Sequence_, Body.Floor_, Body.Withheld_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::RenewAck>)
    return std::tie(Body.Sequence_, Body.Accepted_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::Suspect>)
    return std::tie(Body.Victim_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::PromiseAsk>)
    return std::tie(Body.Victim_, Body.Epoch_, Body.Attempt_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::PromiseReply>)
    return std::tie(Body.Victim_, Body.Epoch_, Body.Attempt_, Body.Result_,
                    Body.Silence_, Body.Generation_, Body.Floor_,
                    Body.Withheld_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::PromiseQuery> ||
                     std::is_same_v<Plain, LeaseMessage::PromiseWithdraw>)
    return std::tie(Body.Victim_, Body.Attempt_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::Retire> ||
                     std::is_same_v<Plain, LeaseMessage::RetireAck>)
    return std::tie(Body.Epoch_);
  else if constexpr (std::is_same_v<Plain, LeaseMessage::Granted>)
    return std::tie(Body.Shards_);
  else if constexpr (std::is_same_v<Plain, ShardRef>)
    return std::tie(Body.Service_, Body.Shard_, Body.Token_);
  else
    return std::tuple<>();
}

void packValue(Packer &Out, std::uint64_t Value) { Out.pack(Value); }
void packValue(Packer &Out, std::uint32_t Value) { Out.pack(Value); }
void packValue(Packer &Out, bool Value) { Out.pack(Value); }
void packValue(Packer &Out, const std::string &Value) { Out.pack(Value); }
void packValue(Packer &Out, std::chrono::milliseconds Value) {
  Out.pack(static_cast<std::int64_t>(Value.count()));
}
void packValue(Packer &Out, LeaseMessage::PromiseResult Value) {
  Out.pack(static_cast<std::uint32_t>(Value));
}

template <typename T> void packFields(Packer &Out, const T &Body);

void packValue(Packer &Out, const std::vector<ShardRef> &Refs) {
  Out.pack_array(static_cast<std::uint32_t>(Refs.size()));
  for (const ShardRef &Ref : Refs)
    packFields(Out, Ref);
}

template <typename T> void packFields(Packer &Out, const T &Body) {
  const auto Fields = fieldsOf(Body);
  Out.pack_array(std::tuple_size_v<decltype(Fields)>);
  std::apply([&Out](const auto &...Field) { (packValue(Out, Field), ...); },
             Fields);
}

template <typename T>
void unpackValue(const msgpack::object &Source, T &Value) {
  Source.convert(Value);
}
void unpackValue(const msgpack::object &Source,
                 std::chrono::milliseconds &Value) {
  Value = std::chrono::milliseconds(Source.as<std::int64_t>());
}
void unpackValue(const msgpack::object &Source,
                 LeaseMessage::PromiseResult &Value) {
  const std::uint32_t Number = Source.as<std::uint32_t>();
  if (Number > static_cast<std::uint32_t>(LeaseMessage::PromiseResult::Retired))
    throw msgpack::type_error();
  Value = static_cast<LeaseMessage::PromiseResult>(Number);
}

const msgpack::object_array &asArray(const msgpack::object &Source) {
  if (Source.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  return Source.via.array;
}

template <typename T> void unpackFields(const msgpack::object &Source, T &Body);

void unpackValue(const msgpack::object &Source, std::vector<ShardRef> &Refs) {
  const msgpack::object_array &Array = asArray(Source);
  Refs.resize(Array.size);
  for (std::uint32_t Index = 0; Index < Array.size; ++Index)
    unpackFields(Array.ptr[Index], Refs[Index]);
}

template <typename T>
void unpackFields(const msgpack::object &Source, T &Body) {
  auto Fields = fieldsOf(Body);
  const msgpack::object_array &Array = asArray(Source);
  if (Array.size != std::tuple_size_v<decltype(Fields)>)
    throw msgpack::type_error();
  [[maybe_unused]] std::uint32_t Index = 0;
  std::apply(
      [&](auto &...Field) { (unpackValue(Array.ptr[Index++], Field), ...); },
      Fields);
}

template <std::size_t Index = 0>
void unpackBody(std::size_t Kind, const msgpack::object &Source,
                LeaseMessage::Body &Body) {
  if constexpr (Index == std::variant_size_v<LeaseMessage::Body>) {
    throw msgpack::type_error();
  } else {
    if (Kind != Index) {
      unpackBody<Index + 1>(Kind, Source, Body);
      return;
    }
    unpackFields(Source, Body.emplace<Index>());
  }
}

msgpack::unpack_limit decodeLimit() {
  constexpr std::size_t MaxString = 256;
  constexpr std::size_t MaxDepth = 6;
  return {MaxShardsPerMessage, 0, MaxString, 0, 0, MaxDepth};
}

} // namespace

std::string encodeLeaseMessage(const LeaseMessage &Message) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(4);
  Out.pack(Message.From_);
  Out.pack(Message.To_);
  Out.pack(static_cast<std::uint32_t>(Message.Body_.index()));
  std::visit([&Out](const auto &Body) { packFields(Out, Body); },
             Message.Body_);
  return {Buffer.data(), Buffer.size()};
}

std::optional<LeaseMessage> decodeLeaseMessage(const char *Data,
                                               std::size_t Size) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Data, Size, nullptr, nullptr, decodeLimit());
    const msgpack::object_array &Array = asArray(Handle.get());
    if (Array.size != 4)
      return std::nullopt;
    LeaseMessage Message;
    Array.ptr[0].convert(Message.From_);
    Array.ptr[1].convert(Message.To_);
    unpackBody(Array.ptr[2].as<std::uint32_t>(), Array.ptr[3], Message.Body_);
    return Message;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace lagoonhitch
