#include "observe/event_log.h"

#include "core/clock.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace lagoonhitch {

namespace {

log4cplus::Logger eventLogger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("lagoonhitch"));
}

const char *levelName(EventLevel Level) {
  switch (Level) {
  case EventLevel::Info:
    return "info";
  case EventLevel::Warn:
    return "warn";
  case EventLevel::Error:
    return "error";
  }
  return "error";
}

log4cplus::LogLevel libraryLevel(EventLevel Level) {
  switch (Level) {
  case EventLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case EventLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case EventLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

} // namespace

EventLog::EventLog(const Clock &Time, std::string Host)
    : Time_(Time), Host_(std::move(Host)) {
  static log4cplus::Initializer Library;
  constexpr bool ToStandardError = true;
  constexpr bool FlushEachLine = true;
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(ToStandardError, FlushEachLine));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  eventLogger().removeAllAppenders();
  eventLogger().addAppender(Appender);
  eventLogger().setAdditivity(false);
}

EventLog::~EventLog() { eventLogger().removeAllAppenders(); }

void EventLog::write(EventId Id, const nlohmann::json &Details) const {
  const EventInfo &Info = eventInfo(Id);
  const std::chrono::milliseconds At =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time_.wallNow().time_since_epoch());
  const nlohmann::json Line = {
      {"at_ms", At.count()}, {"event", static_cast<unsigned>(Id)},
      {"name", Info.Name_},  {"level", levelName(Info.Level_)},
      {"host", Host_},       {"details", Details}};
  eventLogger().log(libraryLevel(Info.Level_), Line.dump());
}

} // namespace lagoonhitch
