#ifndef LAGOONHITCH_NET_SOCKET_OPTIONS_H
#define LAGOONHITCH_NET_SOCKET_OPTIONS_H

/// \file
/// Options of connected TCP sockets. Included only by the implementation files
/// of net.

#include <boost/asio/ip/tcp.hpp>

namespace lagoonhitch {

/// Disables Nagle's algorithm, and enables TCP keep-alive and a user timeout,
/// so that a connection whose peer vanished silently fails within seconds.
void configureSocket(boost::asio::ip::tcp::socket &Socket);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_SOCKET_OPTIONS_H
