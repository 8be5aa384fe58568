#ifndef LAGOONHITCH_NET_SOCKET_OPTIONS_H
#define LAGOONHITCH_NET_SOCKET_OPTIONS_H

/// \file
/// Options of connected TCP sockets. Included only by the implementation files
/// of net.

#include <boost/asio/ip/tcp.hpp>

namespace lagoonhitch {

/// Disables Nagle's algorithm, and enables TCP keep-alive, so that an idle
/// connection whose peer vanished silently fails within seconds. Connections
/// with data to deliver are watched by an OutputMonitor.
void configureSocket(boost::asio::ip::tcp::socket &Socket);

/// Makes the kernel drop what is not delivered yet when the socket is closed.
/// Otherwise it would go on sending to a peer that is gone.
void discardOutput(boost::asio::ip::tcp::socket &Socket);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_SOCKET_OPTIONS_H
