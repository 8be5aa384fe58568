#ifndef LAGOONHITCH_OWNERSHIP_RECORD_JSON_H
#define LAGOONHITCH_OWNERSHIP_RECORD_JSON_H

/// \file
/// The JSON form of records, as they stand in the log.

#include "ownership/record.h"

#include <string>

namespace lagoonhitch {

/// Returns a record as one line of JSON.
std::string encodeRecord(const Record &Entry);

/// Parses a record; throws Error of kind Protocol if it is malformed.
Record decodeRecord(const std::string &Text);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_RECORD_JSON_H
