#ifndef LAGOONHITCH_NET_DIGEST_CODEC_H
#define LAGOONHITCH_NET_DIGEST_CODEC_H

/// \file
/// MessagePack encoding of the datagrams between daemons.

#include "membership/load_digest.h"
#include "store/store_record.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Encodes a load digest.
std::string encodeDigest(const LoadDigest &Digest);

/// Decodes a load digest.
/// \returns std::nullopt if the data is malformed or exceeds a size limit.
std::optional<LoadDigest> decodeDigest(const char *Data, std::size_t Size);

/// A store record that a daemon pushes to its peers.
struct PushedRecord {
  std::string Topic_;
  StoreRecord Record_;
};

/// Encodes a pushed record.
std::string encodePushedRecord(const PushedRecord &Pushed);

/// Decodes a pushed record.
/// \returns std::nullopt if the data is malformed or exceeds a size limit.
std::optional<PushedRecord> decodePushedRecord(const char *Data,
                                               std::size_t Size);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_DIGEST_CODEC_H
