#include "net/datagram_socket.h"

#include "core/error.h"
#include "net/address.h"
#include "net/io_loop_impl.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <utility>

namespace lagoonhitch {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// Size of the receive buffer; longer datagrams are truncated.
constexpr std::size_t MaxDatagramBytes = 9216;

udp::endpoint parseUdpEndpoint(const std::string &Address) {
  const boost::asio::ip::tcp::endpoint Parsed = parseEndpoint(Address);
  return {Parsed.address(), Parsed.port()};
}

} // namespace

struct DatagramSocket::Impl : std::enable_shared_from_this<Impl> {
  Impl(IoLoop &Loop, Receiver Receive)
      : Socket_(Loop.impl().Context_), Receive_(std::move(Receive)) {}

  void receiveNext() {
    Socket_.async_receive_from(
        boost::asio::buffer(Buffer_), Sender_,
        [Self = shared_from_this()](error_code Failure, std::size_t Size) {
          if (!Self->Socket_.is_open())
            return;
          if (!Failure)
            Self->Receive_(Self->Buffer_.data(), Size);
          Self->receiveNext();
        });
  }

  udp::socket Socket_;
  Receiver Receive_;
  udp::endpoint Sender_;
  std::array<char, MaxDatagramBytes> Buffer_{};
  std::map<std::string, udp::endpoint> Endpoints_;
};

DatagramSocket::DatagramSocket(IoLoop &Loop, const std::string &Address,
                               Receiver Receive)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Receive))) {
  const udp::endpoint Endpoint = parseUdpEndpoint(Address);
  error_code Failure;
  Impl_->Socket_.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Impl_->Socket_.bind(Endpoint, Failure);
  if (!Failure)
    Impl_->Socket_.non_blocking(true, Failure);
  if (Failure)
    throw Error(ErrorKind::Unavailable,
                "cannot listen on " + Address + ": " + Failure.message(),
                "choose an address of this host and a free port");
  Impl_->receiveNext();
}

DatagramSocket::~DatagramSocket() {
  error_code Ignored;
  Impl_->Socket_.close(Ignored);
}

void DatagramSocket::send(const std::string &Address,
                          const std::string &Message) {
  auto Found = Impl_->Endpoints_.find(Address);
  if (Found == Impl_->Endpoints_.end()) {
    try {
      Found =
          Impl_->Endpoints_.emplace(Address, parseUdpEndpoint(Address)).first;
    } catch (const Error &) {
      return;
    }
  }
  error_code Ignored;
  Impl_->Socket_.send_to(boost::asio::buffer(Message), Found->second, 0,
                         Ignored);
}

} // namespace lagoonhitch
