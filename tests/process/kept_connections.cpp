#include "tests/process/kept_connections.h"

#include "manifest/manifest.h"
#include "net/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
namespace http = boost::beast::http;

/// The shortest idle time, in percent of the idle timeout.
constexpr int MinIdlePercent = 20;
/// The longest idle time, however long the timeout is.
constexpr milliseconds LongestIdleTime{1600};
/// Pause before another attempt to connect.
constexpr milliseconds ReconnectDelay{50};
/// Time for a response, longer than two suspensions of a daemon together.
constexpr std::chrono::seconds ResponseLimit{20};
/// Lowest status of a response that is not an interim one.
constexpr unsigned MinFinalStatus = 200;
/// Number of different keys.
constexpr std::uint64_t KeyCount = 500;

/// What the connections have in common.
struct KeptShared {
  KeptShared(const Clock &Time, const std::atomic<milliseconds> &IdleTimeout)
      : Time_(Time), IdleTimeout_(IdleTimeout) {}

  const Clock &Time_;
  const std::atomic<milliseconds> &IdleTimeout_;
  boost::asio::io_context Context_;
  std::mt19937_64 Random_;
  std::uint64_t NextCall_ = 0;
  bool Stopping_ = false;
  std::size_t Responses_ = 0;
  std::size_t ClosedWhileIdle_ = 0;
  std::vector<KeptConnections::Lost> Lost_;
};

} // namespace

/// One caller with its connection.
class KeptConnection {
public:
  KeptConnection(KeptShared &Shared, std::string Address)
      : Shared_(Shared), Address_(std::move(Address)), Socket_(Shared.Context_),
        IdleTimer_(Shared.Context_), ResponseTimer_(Shared.Context_) {}

  void connect() {
    Buffer_.clear();
    Idle_ = Duration::zero();
    Socket_ = tcp::socket(Shared_.Context_);
    Socket_.async_connect(parseEndpoint(Address_), [this](error_code Failure) {
      if (Failure)
        connectLater();
      else
        send();
    });
  }

  /// Ends the idle time.
  void stop() { IdleTimer_.cancel(); }

private:
  void connectLater() {
    wait(ReconnectDelay, [this] { connect(); });
  }

  template <typename Function> void wait(Duration Span, Function Next) {
    if (Shared_.Stopping_)
      return;
    IdleTimer_.expires_after(Span);
    IdleTimer_.async_wait([this, Next](error_code Failure) {
      if (!Failure && !Shared_.Stopping_)
        Next();
    });
  }

  void beIdle() {
    constexpr std::uint64_t Choices = MaxIdlePercent - MinIdlePercent + 1;
    const int Percent =
        MinIdlePercent + static_cast<int>(Shared_.Random_() % Choices);
    const milliseconds Timeout = Shared_.IdleTimeout_;
    const milliseconds Span =
        std::min(Timeout * Percent / 100, LongestIdleTime);
    const Instant Since = Shared_.Time_.now();
    wait(Span, [this, Since] {
      if (!isOpen()) {
        ++Shared_.ClosedWhileIdle_;
        connect();
        return;
      }
      Idle_ = Shared_.Time_.now() - Since;
      send();
    });
  }

  /// Returns whether the daemon has neither closed the connection nor sent
  /// anything unexpected.
  bool isOpen() {
    char Byte = 0;
    error_code Failure;
    Socket_.non_blocking(true, Failure);
    Socket_.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                    Failure);
    return Failure == boost::asio::error::would_block;
  }

  void send() {
    const std::uint64_t Number = ++Shared_.NextCall_;
    Call_ = "GET kept " + std::to_string(Number);
    const char *Service = Number % 2 == 0 ? "/katalog/k" : "/pruf/k";
    Request_ = "GET " + (Service + std::to_string(Number % KeyCount)) +
               " HTTP/1.1\r\nHost: h\r\nX-Call: " + Call_ + "\r\n\r\n";
    boost::asio::async_write(Socket_, boost::asio::buffer(Request_),
                             [this](error_code Failure, std::size_t) {
                               if (Failure)
                                 connectLater();
                               else
                                 awaitResponse();
                             });
  }

  void awaitResponse() {
    SentAt_ = Shared_.Time_.now();
    GaveUp_ = false;
    ResponseTimer_.expires_after(ResponseLimit);
    ResponseTimer_.async_wait([this](error_code Failure) {
      if (Failure)
        return;
      GaveUp_ = true;
      Socket_.close(Failure);
    });
    readResponse();
  }

  void readResponse() {
    Parser_.emplace();
    http::async_read(Socket_, Buffer_, *Parser_,
                     [this](error_code Failure, std::size_t) {
                       if (Failure)
                         onLost(Failure);
                       else if (Parser_->get().result_int() < MinFinalStatus)
                         readResponse();
                       else
                         onResponse();
                     });
  }

  void onResponse() {
    ResponseTimer_.cancel();
    ++Shared_.Responses_;
    if (Parser_->keep_alive())
      beIdle();
    else if (!Shared_.Stopping_)
      connect();
  }

  void onLost(error_code Failure) {
    ResponseTimer_.cancel();
    KeptConnections::Lost Entry;
    Entry.Address_ = Address_;
    Entry.Call_ = Call_;
    Entry.SentAt_ = SentAt_;
    Entry.EndedAt_ = Shared_.Time_.now();
    Entry.Idle_ = Idle_;
    Entry.Cause_ = GaveUp_ ? "no response in time" : Failure.message();
    Entry.PartOfResponse_ = Parser_->got_some();
    Shared_.Lost_.push_back(std::move(Entry));
    connectLater();
  }

  KeptShared &Shared_;
  std::string Address_;
  tcp::socket Socket_;
  boost::asio::steady_timer IdleTimer_;
  boost::asio::steady_timer ResponseTimer_;
  boost::beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  std::string Call_;
  std::string Request_;
  Instant SentAt_;
  Duration Idle_{};
  bool GaveUp_ = false;
};

struct KeptConnections::Impl {
  Impl(const Clock &Time, const std::atomic<milliseconds> &IdleTimeout)
      : Shared_(Time, IdleTimeout) {}

  KeptShared Shared_;
  std::vector<std::unique_ptr<KeptConnection>> Connections_;
};

KeptConnections::KeptConnections(const Clock &Time,
                                 const KeptConnectionsOptions &Options)
    : IdleTimeout_(CallerLimits().IdleTimeout_),
      Impl_(std::make_unique<Impl>(Time, IdleTimeout_)) {
  Impl_->Shared_.Random_.seed(Options.FirstCall_);
  Impl_->Shared_.NextCall_ = Options.FirstCall_ - 1;
  for (const std::string &Address : Options.Addresses_)
    for (std::uint32_t Index = 0; Index < Options.PerAddress_; ++Index)
      Impl_->Connections_.push_back(
          std::make_unique<KeptConnection>(Impl_->Shared_, Address));
  for (const std::unique_ptr<KeptConnection> &Each : Impl_->Connections_)
    Each->connect();
  Thread_ = std::thread([this] { Impl_->Shared_.Context_.run(); });
}

KeptConnections::~KeptConnections() {
  if (Thread_.joinable())
    finish();
}

void KeptConnections::finish() {
  boost::asio::post(Impl_->Shared_.Context_, [this] {
    Impl_->Shared_.Stopping_ = true;
    for (const std::unique_ptr<KeptConnection> &Each : Impl_->Connections_)
      Each->stop();
  });
  Thread_.join();
}

std::vector<KeptConnections::Lost> KeptConnections::lost() const {
  return Impl_->Shared_.Lost_;
}

std::size_t KeptConnections::responses() const {
  return Impl_->Shared_.Responses_;
}

std::size_t KeptConnections::closedWhileIdle() const {
  return Impl_->Shared_.ClosedWhileIdle_;
}

} // namespace lagoonhitch
