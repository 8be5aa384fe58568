#ifndef LAGOONHITCH_NET_ADDRESS_H
#define LAGOONHITCH_NET_ADDRESS_H

/// \file
/// Conversions of `ip:port` texts; included by the back ends of net only.

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace lagoonhitch {

/// Connections that may wait to be accepted.
inline constexpr int ListenBacklog = 1024;

/// Parses `ip:port`; throws Error if the text is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text);

/// Formats an endpoint as `ip:port`.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_ADDRESS_H
