#include "tests/process/run_files.h"

#include "settings/rule_match.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

Instant instantOf(const Json &Record, const char *Field) {
  return Instant(
      std::chrono::microseconds(Record.at(Field).get<std::int64_t>()));
}

/// Adds one line of a file: an upstream writes one line at the start and one at
/// the end of each execution.
void addRecord(const Json &Record, History &Events) {
  const std::string Call = Record.at("call").get<std::string>();
  const FencingToken Fence = Record.at("token").get<FencingToken>();
  if (!Record.contains("end_us")) {
    Events.Runs_.push_back({Call, Call.starts_with("POST"),
                            Record.at("instance").get<std::string>(),
                            instantOf(Record, "begin_us")});
    return;
  }
  if (Fence == 0)
    return;
  const std::string Target = Record.at("target").get<std::string>();
  const std::string Key(splitPath(pathOf(Target)).at(1));
  Events.ServingIntervals_.push_back({Record.at("instance").get<std::string>(),
                                      {Key, 0},
                                      Fence,
                                      instantOf(Record, "begin_us"),
                                      instantOf(Record, "end_us")});
}

} // namespace

void addRuns(const std::vector<std::string> &Files, History &Events) {
  for (const std::string &Name : Files) {
    std::ifstream Source(Name);
    for (std::string Text; std::getline(Source, Text);) {
      const Json Record = Json::parse(Text, nullptr, false);
      // If the upstream was killed, its last line may be incomplete.
      if (Record.is_object())
        addRecord(Record, Events);
    }
  }
}

} // namespace lagoonhitch
