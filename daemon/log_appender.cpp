#include "daemon/log_appender.h"

#include "core/error.h"
#include "ownership/record_json.h"

#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::size_t RingSize = 256;

} // namespace

LogAppender::LogAppender(LogClient &Log)
    : Log_(Log), Ring_(RingSize), Thread_([this] { run(); }) {}

LogAppender::~LogAppender() {
  Ring_.push(std::nullopt);
  Thread_.join();
}

bool LogAppender::append(Record Entry) {
  return Ring_.tryPush(std::move(Entry));
}

void LogAppender::run() {
  std::optional<Record> Entry;
  while (true) {
    Ring_.pop(Entry);
    if (!Entry)
      return;
    try {
      Log_.append(encodeRecord(*Entry));
    } catch (const Error &) {
      // The control thread appends again what it does not read back.
      continue;
    }
  }
}

} // namespace lagoonhitch
