#include "net/transmit_state.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>

namespace lagoonhitch {

namespace {

/// The option that limits a connection's retransmission and probe timeouts, in
/// milliseconds. Headers of older systems lack it.
constexpr int RetransmissionTimeoutLimit = 44;
constexpr int ProbeIntervalMillis = 1000;

/// Size of the part of tcp_info that is used.
constexpr socklen_t UsedInfoBytes = offsetof(tcp_info, tcpi_notsent_bytes) +
                                    sizeof(tcp_info::tcpi_notsent_bytes);

} // namespace

std::optional<TransmitState> readTransmitState(int Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0 ||
      Size < UsedInfoBytes)
    return std::nullopt;
  // Substitutes for the kernel may accept the call and fill in nothing.
  if (Info.tcpi_snd_mss == 0)
    return std::nullopt;
  TransmitState State;
  State.Unacknowledged_ = Info.tcpi_unacked > 0;
  State.Unsent_ = Info.tcpi_notsent_bytes > 0;
  State.UnansweredProbes_ = Info.tcpi_probes;
  State.SinceAcknowledgement_ =
      std::chrono::milliseconds(Info.tcpi_last_ack_recv);
  return State;
}

bool reportsTransmitState(int Socket) {
  static const bool IsReported = readTransmitState(Socket).has_value();
  return IsReported;
}

void limitProbeInterval(int Socket) {
  // Failures are ignored: probes are only sent less often.
  static_cast<void>(setsockopt(Socket, IPPROTO_TCP, RetransmissionTimeoutLimit,
                               &ProbeIntervalMillis,
                               sizeof(ProbeIntervalMillis)));
}

} // namespace lagoonhitch
