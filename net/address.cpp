#include "net/address.h"

#include "core/error.h"

#include <charconv>

namespace lagoonhitch {

namespace {

[[noreturn]] void throwMalformed(const std::string &Text) {
  throw Error(ErrorKind::Settings, "\"" + Text + "\" is not a valid address",
              "use an IP address and a port, such as 127.0.0.1:8080");
}

} // namespace

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throwMalformed(Text);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    throwMalformed(Text);
  boost::system::error_code Failure;
  const boost::asio::ip::address Address =
      boost::asio::ip::make_address(Text.substr(0, Colon), Failure);
  if (Failure)
    throwMalformed(Text);
  return {Address, Port};
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint) {
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

} // namespace lagoonhitch
