#ifndef LAGOONHITCH_NET_SOCKET_OPTIONS_H
#define LAGOONHITCH_NET_SOCKET_OPTIONS_H

/// \file
/// Options of connected sockets; included by the back ends of net only.

#include <boost/asio/ip/tcp.hpp>

namespace lagoonhitch {

/// Makes a connection send small messages at once, and break within seconds
/// if the other end is gone without a sign.
void configureSocket(boost::asio::ip::tcp::socket &Socket);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_SOCKET_OPTIONS_H
