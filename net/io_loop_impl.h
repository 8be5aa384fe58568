#ifndef LAGOONHITCH_NET_IO_LOOP_IMPL_H
#define LAGOONHITCH_NET_IO_LOOP_IMPL_H

/// \file
/// The library side of IoLoop; included by the back ends of net only.

#include "net/io_loop.h"

#include <boost/asio/io_context.hpp>

namespace lagoonhitch {

/// Holds the library's event loop.
struct IoLoop::Impl {
  boost::asio::io_context Context_{1};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_IO_LOOP_IMPL_H
