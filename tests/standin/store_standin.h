#ifndef LAGOONHITCH_TESTS_STANDIN_STORE_STANDIN_H
#define LAGOONHITCH_TESTS_STANDIN_STORE_STANDIN_H

/// \file
/// Stand-in for the platform's store.

#include "net/http_exchange.h"
#include "net/io_loop.h"
#include "tests/standin/store_model.h"

#include <chrono>
#include <list>
#include <memory>
#include <string>

namespace lagoonhitch {

/// Keeps topics in memory and implements the platform's published protocol.
/// `POST /_mode` makes it unavailable or slow, or lets it reject calls, lose
/// replies or apply appends late.
class StoreStandin {
public:
  explicit StoreStandin(IoLoop &Loop);

  /// Handles a request, at once or after the configured latency.
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);

private:
  /// A read that waits for records.
  struct LongPoll {
    std::string Topic_;
    Offset From_ = 0;
    std::shared_ptr<HttpExchange> Exchange_;
    std::shared_ptr<void> Timer_;
  };

  void dispatch(const HttpRequest &Request,
                const std::shared_ptr<HttpExchange> &Exchange);
  void append(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);
  void read(const HttpRequest &Request,
            const std::shared_ptr<HttpExchange> &Exchange);
  void readNewest(const HttpRequest &Request, HttpExchange &Exchange) const;
  void completeLongPolls(const std::string &Topic);
  void setMode(const HttpRequest &Request, HttpExchange &Exchange);
  HttpResponse makeReadResponse(const std::string &Topic, Offset From) const;

  IoLoop &Loop_;
  StoreModel State_;
  std::list<LongPoll> LongPolls_;
  /// Timers of delayed calls and appends.
  std::list<std::shared_ptr<void>> Timers_;
  /// Requests that never get a response.
  std::list<std::shared_ptr<HttpExchange>> Unanswered_;
  bool Down_ = false;
  bool Rejects_ = false;
  /// Delay of each call.
  std::chrono::milliseconds Latency_{0};
  /// Number of appends to apply without sending the reply.
  std::uint32_t RepliesToLose_ = 0;
  /// Delay after which appends are applied, without a reply; 0 for none.
  std::chrono::milliseconds ApplyDelay_{0};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_STORE_STANDIN_H
