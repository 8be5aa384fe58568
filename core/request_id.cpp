#include "core/request_id.h"

#include <charconv>
#include <cstdio>

namespace lagoonhitch {

namespace {

template <typename T>
bool parseField(const char *&Begin, const char *End, int Base, T &Value) {
  const std::from_chars_result Result =
      std::from_chars(Begin, End, Value, Base);
  if (Result.ec != std::errc() || Result.ptr == Begin)
    return false;
  Begin = Result.ptr;
  return true;
}

bool parseDash(const char *&Begin, const char *End) {
  if (Begin == End || *Begin != '-')
    return false;
  ++Begin;
  return true;
}

} // namespace

std::string toString(const RequestId &Id) {
  char Buffer[64];
  std::snprintf(Buffer, sizeof(Buffer), "%016llx-%llu-%u",
                static_cast<unsigned long long>(Id.EntryProcess_),
                static_cast<unsigned long long>(Id.Sequence_), Id.Attempt_);
  return Buffer;
}

std::optional<RequestId> parseRequestId(const std::string &Text) {
  const char *Begin = Text.data();
  const char *End = Begin + Text.size();
  RequestId Id;
  if (!parseField(Begin, End, 16, Id.EntryProcess_) || !parseDash(Begin, End))
    return std::nullopt;
  if (!parseField(Begin, End, 10, Id.Sequence_) || !parseDash(Begin, End))
    return std::nullopt;
  if (!parseField(Begin, End, 10, Id.Attempt_) || Begin != End)
    return std::nullopt;
  return Id;
}

} // namespace lagoonhitch
