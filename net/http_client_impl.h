#ifndef LAGOONHITCH_NET_HTTP_CLIENT_IMPL_H
#define LAGOONHITCH_NET_HTTP_CLIENT_IMPL_H

/// \file
/// State that an HTTP client shares with its calls. Internal to net/.

#include "net/connection_pool.h"
#include "net/http_client.h"
#include "net/io_loop_impl.h"
#include "net/receiving_limit.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace lagoonhitch {

/// State that an HTTP client shares with its calls.
struct HttpClient::Impl {
  Impl(IoLoop &Loop, const Clock &Time, HttpClientOptions Options)
      : Context_(Loop.impl().Context_), Outputs_(Loop.impl().Outputs_),
        Time_(Time), Options_(Options),
        Receiving_(Options.MaxReceivingBytes_, Options.SmallResponseBytes_) {}

  ConnectionPool &pool(const std::string &Address) {
    return poolOf(Pools_, Address, Options_);
  }

  boost::asio::io_context &Context_;
  std::shared_ptr<OutputMonitor> Outputs_;
  const Clock &Time_;
  HttpClientOptions Options_;
  ConnectionPools Pools_;
  ReceivingLimit Receiving_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_CLIENT_IMPL_H
