#ifndef LAGOONHITCH_NET_DIGEST_CODEC_H
#define LAGOONHITCH_NET_DIGEST_CODEC_H

/// \file
/// The msgpack form of what daemons tell each other in datagrams.

#include "membership/load_digest.h"
#include "store/store_record.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Encodes a digest.
std::string encodeDigest(const LoadDigest &Digest);

/// Decodes a digest; returns nothing if it is malformed or too large.
std::optional<LoadDigest> decodeDigest(const char *Data, std::size_t Size);

/// A record of the store that a daemon passes on to its peers.
struct PushedRecord {
  std::string Topic_;
  StoreRecord Record_;
};

/// Encodes a passed record.
std::string encodePushedRecord(const PushedRecord &Pushed);

/// Decodes a passed record; returns nothing if it is malformed or too large.
std::optional<PushedRecord> decodePushedRecord(const char *Data,
                                               std::size_t Size);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_DIGEST_CODEC_H
