#ifndef LAGOONHITCH_TESTS_STANDIN_REQUEST_HEADERS_H
#define LAGOONHITCH_TESTS_STANDIN_REQUEST_HEADERS_H

/// \file
/// Headers of the requests that stand-ins receive.

#include "net/http_message.h"

#include <absl/strings/numbers.h>

#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Returns the value of a numeric header, -1 if it is absent or malformed.
inline std::int64_t headerNumber(const HttpRequest &Request, const char *Name) {
  const std::string *Value = findHeader(Request.Headers_, Name);
  std::int64_t Number = 0;
  const bool IsNumber = Value != nullptr && absl::SimpleAtoi(*Value, &Number);
  return IsNumber ? Number : -1;
}

/// Returns the value of a header, empty if it is absent.
inline std::string headerText(const HttpRequest &Request, const char *Name) {
  const std::string *Value = findHeader(Request.Headers_, Name);
  return Value == nullptr ? std::string() : *Value;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_REQUEST_HEADERS_H
