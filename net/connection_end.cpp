#include "net/connection_end.h"

namespace lagoonhitch {

bool isBroken(ConnectionEnd End) {
  return End == ConnectionEnd::Broken || End == ConnectionEnd::PeerGone;
}

const char *describeEnd(ConnectionEnd End) {
  switch (End) {
  case ConnectionEnd::Closed:
    return "was closed by the client";
  case ConnectionEnd::Broken:
    return "was reset or timed out";
  case ConnectionEnd::PeerGone:
    return "has a client that acknowledges nothing";
  case ConnectionEnd::ResponseNotRead:
    return "has a client that does not read its responses";
  case ConnectionEnd::IdleTimeout:
    return "was idle for too long";
  case ConnectionEnd::Completed:
    return "had its last response";
  }
  return "ended";
}

} // namespace lagoonhitch
