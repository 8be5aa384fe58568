#include "net/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoonhitch {

namespace {

constexpr int ProbeAfterSeconds = 1;
constexpr int ProbeEverySeconds = 1;
constexpr int ProbesUntilBroken = 2;
constexpr int UnackedLimitMillis = 2500;

void setOption(int Socket, int Level, int Name, int Value) {
  // A socket that refuses an option still works; calls have time limits.
  static_cast<void>(setsockopt(Socket, Level, Name, &Value, sizeof(Value)));
}

} // namespace

void watchPeer(boost::asio::ip::tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeEverySeconds);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, ProbesUntilBroken);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UnackedLimitMillis);
}

} // namespace lagoonhitch
