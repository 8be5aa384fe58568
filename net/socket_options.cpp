#include "net/socket_options.h"

#include "net/output_progress.h"
#include "net/transmit_state.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoonhitch {

namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;
/// How long sent data may stay unacknowledged if that is not watched.
constexpr int UserTimeoutMillis =
    static_cast<int>(MaxAcknowledgementSilence.count());

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
  // The user timeout also ends connections whose peer is there but reads
  // nothing, so it is set only where an OutputMonitor can't watch them.
  if (!reportsTransmitState(Handle))
    setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMillis);
}

void discardOutput(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
}

} // namespace lagoonhitch
