#ifndef LAGOONHITCH_TESTS_PROCESS_LOAD_GENERATOR_H
#define LAGOONHITCH_TESTS_PROCESS_LOAD_GENERATOR_H

/// \file
/// A load generator that sends requests to a site and records the responses.

#include "core/clock.h"
#include "tests/history/history.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoonhitch {

class IoLoop;
class HttpClient;

/// Options of a LoadGenerator.
struct LoadGeneratorOptions {
  /// `ip:port` of the daemons that requests are sent to, in turn.
  std::vector<std::string> Addresses_;
  /// Number of workers; each sends its requests one after the other.
  std::uint32_t Workers_ = 16;
  /// Number of different keys.
  std::uint32_t KeyCount_ = 500;
  /// Number of the first call. Load generators of the same site need distinct
  /// call numbers.
  std::uint64_t FirstCall_ = 1;
  /// Minimum size of the request bodies, which upstreams echo. If it is zero,
  /// GET requests have no body.
  std::size_t MinBodyBytes_ = 0;
  /// Time between a response and the worker's next request.
  std::chrono::milliseconds ThinkTime_{2};
  /// Maximum idle time of a connection to reuse; zero for the client's limit.
  Duration MaxIdleTime_{};
};

/// Sends GET and POST requests to both services of a Site, on its own thread.
class LoadGenerator {
public:
  /// One finished call.
  struct Call {
    Instant SentAt_;
    Instant AnsweredAt_;
    /// `ip:port` of the daemon that the request was sent to.
    std::string Address_;
    std::string Target_;
    /// HTTP status code; zero if there was no complete response.
    unsigned Status_ = 0;
    Outcome Outcome_ = Outcome::Unknown;
    /// Whether no byte of the request was sent to the daemon.
    bool NotSent_ = false;
    /// Name of the upstream that sent the response.
    std::string Instance_;
  };

  LoadGenerator(const Clock &Time, LoadGeneratorOptions Options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Stops sending requests, waits for the calls in flight and ends the thread.
  void finish();

  /// Returns the finished calls. Call it only after finish().
  const std::vector<Call> &calls() const { return Calls_; }

  /// Returns the responses for a History. Call it only after finish().
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
