#include "net/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoonhitch {

namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;
/// How long sent data may stay unacknowledged.
constexpr int UserTimeoutMillis = 2500;

void setOption(int Socket, int Level, int Name, int Value) {
  // Failures are ignored: the socket works without the option, and calls have
  // timeouts.
  static_cast<void>(setsockopt(Socket, Level, Name, &Value, sizeof(Value)));
}

} // namespace

void configureSocket(boost::asio::ip::tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMillis);
}

} // namespace lagoonhitch
