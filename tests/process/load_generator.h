#ifndef LAGOONHITCH_TESTS_PROCESS_LOAD_GENERATOR_H
#define LAGOONHITCH_TESTS_PROCESS_LOAD_GENERATOR_H

/// \file
/// Callers that send requests to a site and record the answers.

#include "core/clock.h"
#include "tests/history/history.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoonhitch {

class IoLoop;
class HttpClient;

/// What callers do.
struct LoadGeneratorOptions {
  std::vector<std::string> Addresses_;
  std::uint32_t Workers_ = 16;
  std::uint32_t KeyCount_ = 500;
  /// Number of the first call, so that several loads have calls of their own.
  std::uint64_t FirstCall_ = 1;
  /// Time between an answer and the worker's next request.
  std::chrono::milliseconds ThinkTime_{2};
};

/// Sends GETs and POSTs to both services from its own thread.
class LoadGenerator {
public:
  /// One finished call.
  struct Call {
    Instant SentAt_;
    Instant AnsweredAt_;
    std::string Address_;
    std::string Target_;
    unsigned Status_ = 0;
    Outcome Outcome_ = Outcome::Unknown;
    /// Whether the daemon could not be reached at all.
    bool NotSent_ = false;
    std::string Instance_;
  };

  LoadGenerator(const Clock &Time, LoadGeneratorOptions Options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Sends no more requests, waits for the last answers and ends the thread.
  void finish();

  /// Returns the finished calls; after finish() only.
  const std::vector<Call> &calls() const { return Calls_; }

  /// Returns the answers as a history; after finish() only.
  const std::vector<History::CallAnswer> &answers() const { return Answers_; }

private:
  void scheduleNext(std::uint32_t Worker);
  void send(std::uint32_t Worker);

  const Clock &Time_;
  LoadGeneratorOptions Options_;
  std::unique_ptr<IoLoop> Loop_;
  std::unique_ptr<HttpClient> Client_;
  std::vector<std::shared_ptr<void>> Timers_;
  std::uint64_t NextCall_ = 0;
  std::uint32_t InFlight_ = 0;
  std::atomic<bool> Stopping_ = false;
  std::vector<Call> Calls_;
  std::vector<History::CallAnswer> Answers_;
  std::thread Thread_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_LOAD_GENERATOR_H
