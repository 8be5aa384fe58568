#include "tests/process/run_files.h"

#include "settings/rule_match.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

Instant instantOf(const Json &Line, const char *Field) {
  return Instant(std::chrono::microseconds(Line.at(Field).get<std::int64_t>()));
}

void addLine(const Json &Line, History &Events) {
  const std::string Call = Line.at("call").get<std::string>();
  const FencingToken Fence = Line.at("token").get<FencingToken>();
  if (!Line.contains("end_us")) {
    Events.Runs_.push_back({Call, Call.starts_with("POST")});
    return;
  }
  if (Fence == 0)
    return;
  const std::string Target = Line.at("target").get<std::string>();
  const std::string Key(splitPath(pathOf(Target)).at(1));
  Events.Servings_.push_back({Line.at("instance").get<std::string>(),
                              {Key, 0},
                              Fence,
                              instantOf(Line, "begin_us"),
                              instantOf(Line, "end_us")});
}

} // namespace

void addRuns(const std::vector<std::string> &Files, History &Events) {
  for (const std::string &Name : Files) {
    std::ifstream Source(Name);
    for (std::string Text; std::getline(Source, Text);) {
      const Json Line = Json::parse(Text, nullptr, false);
      // The last line of a killed process may be cut.
      if (Line.is_object())
        addLine(Line, Events);
    }
  }
}

} // namespace lagoonhitch
