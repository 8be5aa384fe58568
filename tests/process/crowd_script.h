#ifndef LAGOONHITCH_TESTS_PROCESS_CROWD_SCRIPT_H
#define LAGOONHITCH_TESTS_PROCESS_CROWD_SCRIPT_H

/// \file
/// What the clients of a ClientCrowd send.

#include <cstddef>
#include <string>

namespace lagoonhitch {

/// The bytes that one client sends.
struct CrowdScript {
  /// Request line and headers, with the empty line; sent once.
  std::string Head_;
  /// Sent again and again behind the head.
  std::string Part_;
  /// How often the part is sent.
  std::size_t Parts_ = 0;
  /// Sent at the end; empty for a client that stops before the end of its
  /// request.
  std::string End_;
  /// The most that a client sends before the others have their turn, in bytes.
  std::size_t BytesPerTurn_ = std::size_t{64} * 1024;
  /// Whether the client reads what the daemon sends.
  bool Reads_ = true;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_CROWD_SCRIPT_H
