#include "tests/process/client_crowd.h"

#include "net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <stdexcept>
#include <string_view>
#include <thread>

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace lagoonhitch {

namespace {

/// Pause while no client can send, and the number of pauses after which the
/// daemon is taken to read no more.
constexpr std::chrono::milliseconds IdlePause{20};
constexpr std::size_t MaxIdlePauses = 100;
/// Maximum number of rounds, which only ends a test that hangs.
constexpr std::size_t MaxRounds = 2'000'000;

} // namespace

/// One client of a crowd.
class CrowdClient {
public:
  CrowdClient(const std::string &Address, const CrowdScript &Script)
      : Script_(Script), Socket_(Context_), Pending_(Script.Head_) {
    error_code Failure;
    Socket_.connect(parseEndpoint(Address), Failure);
    if (!Failure)
      Socket_.non_blocking(true, Failure);
    if (Failure)
      throw std::runtime_error("a client can't connect: " + Failure.message());
  }

  /// Sends what the daemon takes at once. Returns whether it was anything.
  bool sendTurn() {
    readResponses();
    std::size_t Sent = 0;
    while (!Closed_ && Sent < Script_.BytesPerTurn_ && fillPending()) {
      const std::size_t Size = writePending();
      if (Size == 0)
        break;
      Sent += Size;
    }
    return Sent > 0;
  }

  /// Returns whether nothing is left to send.
  bool isDone() const {
    return Closed_ ||
           (Pending_.empty() && PartsSent_ == Script_.Parts_ && EndAdded_);
  }

  /// Returns whether the daemon has closed the connection.
  bool isClosed() {
    readResponses();
    return Closed_;
  }

private:
  /// Adds the next bytes of the script. Returns whether there are any.
  bool fillPending() {
    while (Pending_.size() < Script_.BytesPerTurn_ &&
           PartsSent_ < Script_.Parts_) {
      Pending_ += Script_.Part_;
      ++PartsSent_;
    }
    if (PartsSent_ == Script_.Parts_ && !EndAdded_) {
      Pending_ += Script_.End_;
      EndAdded_ = true;
    }
    return !Pending_.empty();
  }

  std::size_t writePending() {
    const std::size_t Size = std::min(Pending_.size(), Script_.BytesPerTurn_);
    error_code Failure;
    const std::size_t Sent =
        Socket_.write_some(boost::asio::buffer(Pending_.data(), Size), Failure);
    Closed_ = Failure && Failure != boost::asio::error::would_block;
    Pending_.erase(0, Sent);
    return Sent;
  }

  void readResponses() {
    if (!Script_.Reads_ || Closed_)
      return;
    std::array<char, 65536> Buffer;
    error_code Failure;
    while (!Failure)
      Socket_.read_some(boost::asio::buffer(Buffer), Failure);
    Closed_ = Failure != boost::asio::error::would_block;
  }

  const CrowdScript &Script_;
  boost::asio::io_context Context_;
  tcp::socket Socket_;
  std::string Pending_;
  std::size_t PartsSent_ = 0;
  bool EndAdded_ = false;
  bool Closed_ = false;
};

ClientCrowd::ClientCrowd(const std::string &Address, std::size_t Size,
                         const CrowdScript &Script)
    : Script_(Script) {
  for (std::size_t Index = 0; Index < Size; ++Index)
    Clients_.push_back(std::make_unique<CrowdClient>(Address, Script_));
}

ClientCrowd::~ClientCrowd() = default;

void ClientCrowd::send() {
  std::size_t IdlePauses = 0;
  for (std::size_t Round = 0; Round < MaxRounds; ++Round) {
    bool AnySent = false;
    bool AllDone = true;
    for (const std::unique_ptr<CrowdClient> &Client : Clients_) {
      AnySent = Client->sendTurn() || AnySent;
      AllDone = AllDone && Client->isDone();
    }
    if (AllDone)
      return;
    IdlePauses = AnySent ? 0 : IdlePauses + 1;
    if (IdlePauses > MaxIdlePauses)
      return;
    if (!AnySent)
      std::this_thread::sleep_for(IdlePause);
  }
}

std::size_t ClientCrowd::closed() const {
  return static_cast<std::size_t>(
      std::count_if(Clients_.begin(), Clients_.end(),
                    [](const std::unique_ptr<CrowdClient> &Client) {
                      return Client->isClosed();
                    }));
}

} // namespace lagoonhitch
