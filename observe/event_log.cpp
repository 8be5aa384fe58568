#include "observe/event_log.h"

#include "core/clock.h"
#include "core/received_json.h"

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

/// Maximum number of lines that wait to be written.
constexpr std::size_t RingCapacity = 512;
/// Maximum number of lines per event and second.
constexpr std::uint32_t MaxLinesPerSecond = 20;

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

log4cplus::LogLevel toLog4cplusLevel(EventLevel Level) {
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
    : Time_(Time), Host_(std::move(Host)), Ring_(RingCapacity) {
  static log4cplus::Initializer Library;
  constexpr bool ToStandardError = false;
  constexpr bool FlushEachLine = true;
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(ToStandardError, FlushEachLine));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  eventLogger().removeAllAppenders();
  eventLogger().addAppender(Appender);
  eventLogger().setAdditivity(false);
  Thread_ = std::thread([this] { run(); });
}

EventLog::~EventLog() { close(); }

void EventLog::close() {
  if (!Thread_.joinable())
    return;
  Ring_.push({});
  Thread_.join();
  eventLogger().removeAllAppenders();
}

void EventLog::run() {
  for (;;) {
    Line Next;
    Ring_.pop(Next);
    if (Next.Text_.empty())
      return;
    eventLogger().log(Next.Level_, Next.Text_);
  }
}

void EventLog::write(EventId Id, const nlohmann::json &Details) {
  const EventInfo &Info = eventInfo(Id);
  const std::chrono::milliseconds At =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time_.wallNow().time_since_epoch());
  const std::int64_t Second =
      std::chrono::duration_cast<std::chrono::seconds>(At).count();
  const std::lock_guard<std::mutex> Lock(Mutex_);
  RateWindow &Current = RateWindows_[Id];
  if (Current.Second_ != Second) {
    Current.Second_ = Second;
    Current.Written_ = 0;
  }
  if (Current.Written_ >= MaxLinesPerSecond) {
    ++Current.Dropped_;
    return;
  }
  nlohmann::json Text = {
      {"at_ms", At.count()}, {"event", static_cast<unsigned>(Id)},
      {"name", Info.Name_},  {"level", levelName(Info.Level_)},
      {"host", Host_},       {"details", Details}};
  if (Current.Dropped_ > 0)
    Text["dropped_before"] = Current.Dropped_;
  if (!Ring_.tryPush(
          {toLog4cplusLevel(Info.Level_), dumpReplacingInvalid(Text)})) {
    ++Current.Dropped_;
    return;
  }
  ++Current.Written_;
  Current.Dropped_ = 0;
}

} // namespace lagoonhitch
