#ifndef LAGOONHITCH_NET_DIGEST_CODEC_H
#define LAGOONHITCH_NET_DIGEST_CODEC_H

/// \file
/// The msgpack form of load digests.

#include "membership/load_digest.h"

#include <cstddef>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Encodes a digest.
std::string encodeDigest(const LoadDigest &Digest);

/// Decodes a digest; returns nothing if it is malformed or too large.
std::optional<LoadDigest> decodeDigest(const char *Data, std::size_t Size);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_DIGEST_CODEC_H
