#ifndef LAGOONHITCH_TESTS_STANDIN_LOG_STANDIN_H
#define LAGOONHITCH_TESTS_STANDIN_LOG_STANDIN_H

/// \file
/// A stand-in for the platform's append-only log.

#include "core/clock.h"
#include "core/types.h"
#include "net/http_exchange.h"
#include "net/io_loop.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace lagoonhitch {

/// Keeps streams in memory and speaks HTTP and JSON. `POST /mode` makes it
/// down or slow, lose answers after the append took effect, or keep fewer
/// records.
class LogStandin {
public:
  explicit LogStandin(IoLoop &Loop);

  /// Handles one request.
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);

private:
  struct Waiter {
    Offset From_ = 0;
    std::shared_ptr<HttpExchange> Exchange_;
    std::shared_ptr<void> Timer_;
  };
  struct Stream {
    Offset First_ = 0;
    std::deque<std::string> Records_;
    std::deque<std::shared_ptr<Waiter>> Waiters_;
  };

  void dispatch(const HttpRequest &Request,
                const std::shared_ptr<HttpExchange> &Exchange);
  void append(Stream &Target, const HttpRequest &Request,
              HttpExchange &Exchange);
  void read(Stream &Source, const HttpRequest &Request,
            const std::shared_ptr<HttpExchange> &Exchange);
  void setMode(const HttpRequest &Request, HttpExchange &Exchange);
  void wake(Stream &Source);
  static HttpResponse batch(const Stream &Source, Offset From);

  IoLoop &Loop_;
  std::map<std::string, Stream> Streams_;
  bool Down_ = false;
  std::chrono::milliseconds Slow_{0};
  std::uint32_t LoseAnswers_ = 0;
  std::size_t Keep_ = 1000000;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_LOG_STANDIN_H
