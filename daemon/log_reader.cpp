#include "daemon/log_reader.h"

#include "core/error.h"
#include "ownership/record_json.h"

#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds LongPoll{1000};
constexpr std::chrono::milliseconds RetryPause{200};

} // namespace

LogReader::LogReader(LogClient &Log, Receiver Receive, StatusReceiver Status)
    : Log_(Log), Receive_(std::move(Receive)), Status_(std::move(Status)),
      Thread_([this] { run(); }) {}

LogReader::~LogReader() {
  Stopping_ = true;
  Thread_.join();
}

void LogReader::run() {
  while (!Stopping_) {
    try {
      readOnce();
      setAvailable(true);
    } catch (const Error &) {
      setAvailable(false);
      std::this_thread::sleep_for(RetryPause);
    }
  }
}

void LogReader::readOnce() {
  const LogRead Read = Log_.read(Next_, LongPoll);
  LogBatch Batch;
  Batch.First_ = Read.First_;
  for (const auto &[At, Text] : Read.Records_)
    Batch.Records_.emplace_back(At, decodeRecord(Text));
  Next_ = std::max(Next_, Read.First_);
  if (!Read.Records_.empty())
    Next_ = Read.Records_.back().first + 1;
  Batch.AtEnd_ = Next_ >= Read.End_;
  Receive_(std::move(Batch));
}

void LogReader::setAvailable(bool Available) {
  if (Available == Available_)
    return;
  Available_ = Available;
  Status_(Available);
}

} // namespace lagoonhitch
