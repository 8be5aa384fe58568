#include "core/received_json.h"

#include <cmath>
#include <string_view>

namespace lagoonhitch {

namespace {

/// About 31 years: ten times less than what a Duration can represent.
constexpr double MaxSeconds = 1e9;
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
