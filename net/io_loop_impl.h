#ifndef LAGOONHITCH_NET_IO_LOOP_IMPL_H
#define LAGOONHITCH_NET_IO_LOOP_IMPL_H

/// \file
/// The Boost.Asio side of IoLoop. Included only by the implementation files of
/// net.

#include "net/io_loop.h"
#include "net/output_monitor.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace lagoonhitch {

/// Holds the event loop of Boost.Asio.
struct IoLoop::Impl {
  boost::asio::io_context Context_{1};
  /// Shared with the connections, the last of which end with Context_.
  std::shared_ptr<OutputMonitor> Outputs_ =
      std::make_shared<OutputMonitor>(Context_);
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_IO_LOOP_IMPL_H
