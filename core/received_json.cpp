#include "core/received_json.h"

#include <cmath>
#include <string_view>

namespace lagoonhitch {

namespace {

/// About 31 years: ten times less than what a Duration can represent.
constexpr double MaxSeconds = 1e9;
/// Up to here, a floating-point number represents each integer exactly.
constexpr double MaxExactInteger = 9007199254740992;
/// The end of the year 2100.
constexpr std::int64_t MaxUnixMillis = 4133980800000;

/// Returns whether arrays and objects are nested too deeply. For malformed
/// texts, the result holds for the part before the first fault.
bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Next = Text[Index];
    if (Next == '"')
      InString = !InString;
    else if (InString && Next == '\\')
      ++Index;
    else if (!InString && (Next == '[' || Next == '{') &&
             ++Depth > MaxJsonDepth)
      return true;
    else if (!InString && (Next == ']' || Next == '}') && Depth > 0)
      --Depth;
  }
  return false;
}

} // namespace

nlohmann::json parseReceivedJson(const std::string &Text) {
  // Copies and comparisons of a value recurse to its depth.
  if (isTooDeep(Text))
    throw std::invalid_argument("the text is nested too deeply");
  return nlohmann::json::parse(Text);
}

std::uint64_t decodeCount(const nlohmann::json &Source) {
  if (Source.is_number_unsigned())
    return Source.get<std::uint64_t>();
  const double Value = Source.is_number_float() ? Source.get<double>() : -1;
  if (Value < 0 || Value > MaxExactInteger || Value != std::floor(Value))
    throw std::invalid_argument("a value is not a non-negative integer");
  return static_cast<std::uint64_t>(Value);
}

std::int64_t decodeUnixMillis(const nlohmann::json &Source) {
  const auto Millis = decodeUnsigned<std::uint64_t>(Source);
  if (Millis > static_cast<std::uint64_t>(MaxUnixMillis))
    throw std::invalid_argument("a value is not a time in milliseconds");
  return static_cast<std::int64_t>(Millis);
}

std::chrono::milliseconds decodeSeconds(const nlohmann::json &Source) {
  if (!Source.is_number() || std::abs(Source.get<double>()) > MaxSeconds)
    throw std::invalid_argument("a value is not a number of seconds");
  return std::chrono::milliseconds(std::llround(Source.get<double>() * 1000));
}

std::string dumpReplacingInvalid(const nlohmann::json &Source) {
  return Source.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lagoonhitch
