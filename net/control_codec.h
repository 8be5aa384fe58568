#ifndef LAGOONHITCH_NET_CONTROL_CODEC_H
#define LAGOONHITCH_NET_CONTROL_CODEC_H

/// \file
/// The msgpack form of control messages.

#include "recovery/lease_message.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Most shards that one message may carry.
inline constexpr std::size_t MaxShardsPerMessage = 4096;

/// Encodes a message.
std::string encodeLeaseMessage(const LeaseMessage &Message);

/// Decodes a message; returns nothing if it is malformed or too large.
std::optional<LeaseMessage> decodeLeaseMessage(const char *Data,
                                               std::size_t Size);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_CONTROL_CODEC_H
