#include "net/control_link.h"

#include "core/error.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <map>
#include <thread>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr nng_duration ReconnectMinMs = 100;
constexpr nng_duration ReconnectMaxMs = 400;
constexpr nng_duration ReceiveTimeoutMs = 200;
constexpr std::size_t MaxMessageBytes = 256 * 1024;
constexpr int SendBufferMessages = 16;

void check(int Result, const std::string &What) {
  if (Result == 0)
    return;
  throw Error(ErrorKind::Unavailable, What + ": " + nng_strerror(Result),
              "choose an address of this host and a free port");
}

/// A push socket to one peer, closed with its owner.
class PushSocket {
public:
  explicit PushSocket(const std::string &Peer) {
    check(nng_push0_open(&Socket_), "cannot open a control socket");
    nng_socket_set_ms(Socket_, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(Socket_, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    nng_socket_set_int(Socket_, NNG_OPT_SENDBUF, SendBufferMessages);
    nng_socket_set_bool(Socket_, NNG_OPT_TCP_NODELAY, true);
    nng_dial(Socket_, ("tcp://" + Peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  ~PushSocket() { nng_close(Socket_); }
  PushSocket(const PushSocket &) = delete;
  PushSocket &operator=(const PushSocket &) = delete;

  void send(const std::string &Message) {
    nng_send(Socket_, const_cast<char *>(Message.data()), Message.size(),
             NNG_FLAG_NONBLOCK);
  }

private:
  nng_socket Socket_ = NNG_SOCKET_INITIALIZER;
};

std::string formatIpv4(const nng_sockaddr &Address) {
  std::array<unsigned char, 4> Bytes{};
  std::memcpy(Bytes.data(), &Address.s_in.sa_addr, Bytes.size());
  const unsigned char *Port =
      reinterpret_cast<const unsigned char *>(&Address.s_in.sa_port);
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%u.%u.%u.%u:%u", Bytes[0], Bytes[1],
                Bytes[2], Bytes[3], Port[0] * 256U + Port[1]);
  return Buffer;
}

} // namespace

struct ControlLink::Impl {

  void run() {
    while (!Stopping_) {
      nng_msg *Message = nullptr;
      if (nng_recvmsg(Listen_, &Message, 0) != 0)
        continue;
      Receive_(static_cast<const char *>(nng_msg_body(Message)),
               nng_msg_len(Message));
      nng_msg_free(Message);
    }
  }

  Receiver Receive_;
  nng_socket Listen_ = NNG_SOCKET_INITIALIZER;
  nng_listener Listener_ = NNG_LISTENER_INITIALIZER;
  std::map<std::string, std::unique_ptr<PushSocket>> Peers_;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
};

ControlLink::ControlLink(const std::string &Address)
    : Impl_(std::make_unique<Impl>()) {
  check(nng_pull0_open(&Impl_->Listen_), "cannot open a control socket");
  nng_socket_set_ms(Impl_->Listen_, NNG_OPT_RECVTIMEO, ReceiveTimeoutMs);
  nng_socket_set_size(Impl_->Listen_, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  check(nng_listen(Impl_->Listen_, ("tcp://" + Address).c_str(),
                   &Impl_->Listener_, 0),
        "cannot listen on " + Address);
}

ControlLink::~ControlLink() {
  stopReceiving();
  nng_close(Impl_->Listen_);
}

void ControlLink::startReceiving(Receiver Receive) {
  Impl_->Receive_ = std::move(Receive);
  Impl_->Thread_ = std::thread([this] { Impl_->run(); });
}

void ControlLink::stopReceiving() {
  Impl_->Stopping_ = true;
  if (Impl_->Thread_.joinable())
    Impl_->Thread_.join();
}

std::string ControlLink::address() const {
  nng_sockaddr Address{};
  nng_listener_get_addr(Impl_->Listener_, NNG_OPT_LOCADDR, &Address);
  return formatIpv4(Address);
}

void ControlLink::send(const std::string &Peer, const std::string &Message) {
  std::unique_ptr<PushSocket> &Socket = Impl_->Peers_[Peer];
  if (!Socket)
    Socket = std::make_unique<PushSocket>(Peer);
  Socket->send(Message);
}

void ControlLink::reset(const std::string &Peer) { Impl_->Peers_.erase(Peer); }

} // namespace lagoonhitch
