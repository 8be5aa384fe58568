#include "tests/process/tcp_relay.h"

#include "net/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace lagoonhitch {

namespace {

/// Both ends of one passed connection.
struct Pair {
  explicit Pair(boost::asio::io_context &Context)
      : Near_(Context), Far_(Context) {}

  tcp::socket Near_;
  tcp::socket Far_;
  bool Silent_ = false;
};

using PairPtr = std::shared_ptr<Pair>;

void closeBoth(Pair &Ends) {
  error_code Ignored;
  Ends.Near_.close(Ignored);
  Ends.Far_.close(Ignored);
}

/// Passes bytes in one direction until an end closes or the pair is silent.
void pass(const PairPtr &Ends, tcp::socket &From, tcp::socket &To) {
  constexpr std::size_t ChunkBytes = 16384;
  const std::shared_ptr<std::array<char, ChunkBytes>> Chunk =
      std::make_shared<std::array<char, ChunkBytes>>();
  From.async_read_some(
      boost::asio::buffer(*Chunk),
      [Ends, &From, &To, Chunk](error_code Failure, std::size_t Size) {
        if (Ends->Silent_)
          return;
        if (Failure) {
          closeBoth(*Ends);
          return;
        }
        boost::asio::async_write(
            To, boost::asio::buffer(*Chunk, Size),
            [Ends, &From, &To, Chunk](error_code WriteFailure, std::size_t) {
              if (!WriteFailure && !Ends->Silent_)
                pass(Ends, From, To);
            });
      });
}

} // namespace

struct TcpRelay::Impl {
  Impl() : Acceptor_(Context_, parseEndpoint("127.0.0.1:0")) {}

  void acceptNext() {
    const PairPtr Ends = std::make_shared<Pair>(Context_);
    Acceptor_.async_accept(Ends->Near_, [this, Ends](error_code Failure) {
      if (Failure)
        return;
      Pairs_.push_back(Ends);
      Ends->Far_.async_connect(parseEndpoint(Target_),
                               [Ends](error_code ConnectFailure) {
                                 if (ConnectFailure) {
                                   closeBoth(*Ends);
                                   return;
                                 }
                                 pass(Ends, Ends->Near_, Ends->Far_);
                                 pass(Ends, Ends->Far_, Ends->Near_);
                               });
      acceptNext();
    });
  }

  boost::asio::io_context Context_{1};
  tcp::acceptor Acceptor_;
  std::string Target_ = "127.0.0.1:1";
  std::vector<PairPtr> Pairs_;
  std::thread Thread_;
};

TcpRelay::TcpRelay() : Impl_(std::make_shared<Impl>()) {
  Impl_->acceptNext();
  Impl_->Thread_ = std::thread([this] { Impl_->Context_.run(); });
}

TcpRelay::~TcpRelay() {
  Impl_->Context_.stop();
  Impl_->Thread_.join();
}

std::string TcpRelay::address() const {
  return formatEndpoint(Impl_->Acceptor_.local_endpoint());
}

void TcpRelay::setTarget(const std::string &Address) {
  boost::asio::post(Impl_->Context_,
                    [this, Address] { Impl_->Target_ = Address; });
}

void TcpRelay::silence() {
  boost::asio::post(Impl_->Context_, [this] {
    for (const PairPtr &Ends : Impl_->Pairs_)
      Ends->Silent_ = true;
  });
}

} // namespace lagoonhitch
