#include "tests/unit/endless_server.h"

#include "net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace lagoonhitch {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

/// Limits of what is sent on one connection.
constexpr std::size_t MaxSentBytes = 48 * 1024 * 1024;
constexpr std::chrono::seconds MaxSendTime{4};
/// Size of one write if there are no pauses.
constexpr std::size_t WriteBytes = 64 * 1024;
constexpr std::chrono::milliseconds PollInterval{5};
constexpr std::chrono::milliseconds PauseBeforeReset{50};

} // namespace

EndlessServer::EndlessServer(ServerScript Script, const std::string &Address)
    : Script_(std::move(Script)), Acceptor_(Context_, parseEndpoint(Address)),
      Accepting_([this] { acceptAll(); }) {}

EndlessServer::~EndlessServer() {
  Stopping_ = true;
  // Ends the pending accept.
  tcp::socket Last(Context_);
  error_code Ignored;
  Last.connect(Acceptor_.local_endpoint(), Ignored);
  Accepting_.join();
  for (std::thread &Connection : Serving_)
    Connection.join();
}

std::string EndlessServer::address() const {
  return formatEndpoint(Acceptor_.local_endpoint());
}

bool EndlessServer::waitUntilClosed(std::chrono::milliseconds Limit) const {
  const steady_clock::time_point End = steady_clock::now() + Limit;
  while (OpenConnections_ > 0 && steady_clock::now() < End)
    std::this_thread::sleep_for(PollInterval);
  return OpenConnections_ == 0;
}

void EndlessServer::acceptAll() {
  while (true) {
    tcp::socket Client(Context_);
    error_code Failure;
    Acceptor_.accept(Client, Failure);
    if (Failure || Stopping_)
      return;
    ++OpenConnections_;
    Serving_.emplace_back([this, Accepted = std::move(Client)]() mutable {
      serve(std::move(Accepted));
      --OpenConnections_;
    });
  }
}

void EndlessServer::serve(Socket Client) {
  std::string Request;
  error_code Failure;
  boost::asio::read_until(Client, boost::asio::dynamic_buffer(Request),
                          "\r\n\r\n", Failure);
  if (Failure)
    return;
  play(Client);
  if (Script_.ResetAtEnd_) {
    std::this_thread::sleep_for(PauseBeforeReset);
    Client.set_option(Socket::linger(true, 0), Failure);
    Client.close(Failure);
    return;
  }
  if (Script_.CloseAtEnd_)
    return;
  // Waits until the client closes the connection.
  Client.non_blocking(true, Failure);
  char Byte = 0;
  do {
    std::this_thread::sleep_for(PollInterval);
    Client.read_some(boost::asio::buffer(&Byte, 1), Failure);
  } while (!Stopping_ && Failure == boost::asio::error::would_block);
}

void EndlessServer::play(Socket &Client) {
  std::this_thread::sleep_for(Script_.PauseBeforeHead_);
  if (!send(Client, Script_.Head_) || Script_.Repeated_.empty())
    return;
  std::this_thread::sleep_for(Script_.PauseAfterHead_);
  const bool Fast = Script_.Pause_.count() == 0;
  std::string Block = Script_.Repeated_;
  while (Fast && Block.size() < WriteBytes)
    Block += Script_.Repeated_;
  const steady_clock::time_point End = steady_clock::now() + MaxSendTime;
  std::size_t Sent = 0;
  while (!Stopping_ && Sent < MaxSentBytes && steady_clock::now() < End) {
    if (!send(Client, Block))
      return;
    Sent += Block.size();
    std::this_thread::sleep_for(Script_.Pause_);
  }
}

/// Returns whether the connection is still open.
bool EndlessServer::send(Socket &Client, const std::string &Bytes) {
  error_code Failure;
  SentBytes_ += boost::asio::write(Client, boost::asio::buffer(Bytes), Failure);
  return !Failure;
}

} // namespace lagoonhitch
