#ifndef LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
#define LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H

/// \file
/// A stand-in for an upstream of the users' platform.

#include "core/clock.h"
#include "core/key_range.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "net/io_loop.h"

#include <chrono>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of an InstanceStandin.
struct InstanceStandinOptions {
  std::string Service_;
  std::string Instance_;
  std::string Zone_;
  bool Divided_ = false;
  std::uint32_t Slots_ = 18;
  /// Requests that wait for a slot; further ones never get an answer.
  std::uint32_t Queue_ = 72;
  std::chrono::microseconds ServiceTime_{1000};
  /// Requests a second that it bears while cold.
  std::uint32_t ColdPerSecond_ = 17;
  /// File for one JSON line per run; empty for none.
  std::string Runs_;
};

/// Speaks the platform's published protocol towards the daemon beside it:
/// heartbeats, grants with fences and holds, releases with a handover, slots, a
/// queue that hangs when full, a load header. It records every run.
class InstanceStandin {
public:
  InstanceStandin(IoLoop &Loop, const Clock &Time, HttpClient &Client,
                  InstanceStandinOptions Options);

  /// Sends heartbeats from now on.
  /// \param Own its own `ip:port`, \param Daemon where heartbeats go.
  void beatForever(const std::string &Own, const std::string &Daemon);

  /// Handles one request; `POST /_mode` changes its behaviour.
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);

private:
  struct Held {
    KeyRange Range_;
    std::uint64_t Fence_ = 0;
    Instant Until_;
  };
  struct Run {
    HttpRequest Request_;
    std::shared_ptr<HttpExchange> Exchange_;
    Instant Begin_;
    Instant Deadline_;
    std::uint64_t Fence_ = 0;
  };

  void grant(const HttpRequest &Request, HttpExchange &Exchange);
  void release(const HttpRequest &Request,
               const std::shared_ptr<HttpExchange> &Exchange);
  void answerReleases();
  bool runsKeysOf(const KeyRange &Range) const;
  const Held *holdOf(const HttpRequest &Request) const;
  void admit(const HttpRequest &Request,
             const std::shared_ptr<HttpExchange> &Exchange);
  void start(const HttpRequest &Request,
             const std::shared_ptr<HttpExchange> &Exchange,
             std::uint64_t Fence);
  void finish(std::uint64_t Number);
  bool isColdOverrun();
  void setMode(const HttpRequest &Request, HttpExchange &Exchange);
  void record(const Run &One, const Instant *End);
  HttpResponse respondTo(const HttpRequest &Request, unsigned Status) const;

  IoLoop &Loop_;
  const Clock &Time_;
  HttpClient &Client_;
  InstanceStandinOptions Options_;
  std::int64_t Born_;
  std::ofstream Runs_;
  std::vector<Held> Holds_;
  std::vector<Held> Seen_;
  std::map<std::uint64_t, Run> Running_;
  std::list<std::pair<HttpRequest, std::shared_ptr<HttpExchange>>> Waiting_;
  std::list<std::pair<KeyRange, std::shared_ptr<HttpExchange>>> Releases_;
  std::list<std::shared_ptr<HttpExchange>> Hung_;
  std::map<std::uint64_t, std::shared_ptr<void>> Timers_;
  std::uint64_t NextRun_ = 0;
  std::uint64_t Sequence_ = 0;
  bool Draining_ = false;
  Instant ColdUntil_;
  std::list<Instant> ColdStarts_;
  std::shared_ptr<void> BeatTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
