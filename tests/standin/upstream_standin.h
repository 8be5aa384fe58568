#ifndef LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
#define LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H

/// \file
/// A stand-in for an upstream of the users' platforms.

#include "core/clock.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "net/io_loop.h"

#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <string>

namespace lagoonhitch {

/// Settings of an UpstreamStandin.
struct UpstreamStandinOptions {
  std::string Service_;
  std::string Instance_;
  /// `ip:port` of the daemon's admin address; empty for none.
  std::string Admin_;
  std::uint32_t Slots_ = 18;
  std::uint32_t Connections_ = 130;
  std::chrono::microseconds ServiceTime_{1000};
  bool ChecksTokens_ = false;
  /// File for one JSON line per run; empty for none.
  std::string Runs_;
};

/// Answers each request after its service time, sheds beyond its slots,
/// refuses stale tokens and late starts, gives a run up at its deadline, and
/// records every run.
class UpstreamStandin {
public:
  UpstreamStandin(IoLoop &Loop, const Clock &Time, HttpClient &Client,
                  UpstreamStandinOptions Options);

  /// Announces itself to the daemon, now and from then on.
  void announceForever(const std::string &Address);

  /// Handles one request; `POST /_mode` changes its behaviour.
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);

private:
  bool isStale(const HttpRequest &Request);
  void run(const HttpRequest &Request,
           const std::shared_ptr<HttpExchange> &Exchange);
  void finish(const HttpRequest &Request, HttpExchange &Exchange,
              Instant Begin);
  Instant deadlineOf(const HttpRequest &Request, Instant Begin) const;
  void record(const HttpRequest &Request, Instant Begin, const Instant *End);
  void setMode(const HttpRequest &Request, HttpExchange &Exchange);

  IoLoop &Loop_;
  const Clock &Time_;
  HttpClient &Client_;
  UpstreamStandinOptions Options_;
  std::ofstream Runs_;
  std::uint32_t InFlight_ = 0;
  /// Requests that it bears while cold; zero when warm.
  std::uint32_t ColdSlots_ = 0;
  bool Draining_ = false;
  std::map<std::string, std::uint64_t> HighestToken_;
  std::shared_ptr<void> AnnounceTimer_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_UPSTREAM_STANDIN_H
