#include "core/error.h"

#include <utility>

namespace lagoonhitch {

Error::Error(ErrorKind Kind, const std::string &Message, std::string Remedy)
    : std::runtime_error(Message), Kind_(Kind), Remedy_(std::move(Remedy)) {}

const char *errorKindName(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::Settings:
    return "settings";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::Timeout:
    return "timeout";
  case ErrorKind::Protocol:
    return "protocol";
  case ErrorKind::Refused:
    return "refused";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace lagoonhitch
