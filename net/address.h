#ifndef LAGOONHITCH_NET_ADDRESS_H
#define LAGOONHITCH_NET_ADDRESS_H

/// \file
/// Conversions between `ip:port` strings and endpoints. Included only by the
/// implementation files of net.

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace lagoonhitch {

/// Maximum number of connections that wait to be accepted.
inline constexpr int ListenBacklog = 1024;

/// Parses `ip:port`. Throws Error if the string is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text);

/// Formats an endpoint as `ip:port`.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_ADDRESS_H
