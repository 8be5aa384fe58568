#ifndef LAGOONHITCH_CORE_RECEIVED_JSON_H
#define LAGOONHITCH_CORE_RECEIVED_JSON_H

/// \file
/// Reads JSON that other processes have written, which may be hostile.

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>

namespace lagoonhitch {

/// Maximum number of arrays and objects within each other.
inline constexpr std::size_t MaxJsonDepth = 64;

/// Parses a JSON text. Throws an exception derived from std::exception if the
/// text is malformed or exceeds MaxJsonDepth.
nlohmann::json parseReceivedJson(const std::string &Text);

/// Reads a non-negative integer, which may be written with a fraction of zero.
/// Throws std::invalid_argument for any other value.
std::uint64_t decodeCount(const nlohmann::json &Source);

/// The same for a type that may be shorter. Throws std::invalid_argument if the
/// value exceeds it.
template <typename Unsigned>
Unsigned decodeUnsigned(const nlohmann::json &Source) {
  const std::uint64_t Count = decodeCount(Source);
  if (Count > std::numeric_limits<Unsigned>::max())
    throw std::invalid_argument("a value is too large");
  return static_cast<Unsigned>(Count);
}

/// Reads an optional field that is a non-negative integer.
template <typename Unsigned>
Unsigned unsignedOrDefault(const nlohmann::json &Source, const char *Name,
                           Unsigned Default) {
  const auto Found = Source.find(Name);
  return Found == Source.end() ? Default : decodeUnsigned<Unsigned>(*Found);
}

/// Reads a number of milliseconds since the Unix epoch. Throws
/// std::invalid_argument if it is no integer, is negative, or so large that
/// sums with it could overflow.
std::int64_t decodeUnixMillis(const nlohmann::json &Source);

/// Reads a number of seconds, possibly with a fraction. Throws
/// std::invalid_argument if it is no number, or so large that sums with it
/// could overflow.
std::chrono::milliseconds decodeSeconds(const nlohmann::json &Source);

/// Writes JSON. Bytes that are not valid UTF-8 are replaced, since messages may
/// quote received data.
std::string dumpReplacingInvalid(const nlohmann::json &Source);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_RECEIVED_JSON_H
