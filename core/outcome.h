#ifndef LAGOONHITCH_CORE_OUTCOME_H
#define LAGOONHITCH_CORE_OUTCOME_H

/// \file
/// Whether a request was executed, as far as it is known.

namespace lagoonhitch {

/// Whether a request was executed by an upstream.
enum class Outcome {
  /// An upstream executed the request, and its complete response was received.
  Ran,
  /// It is proven that no upstream has executed or will execute the request.
  NotRun,
  /// Neither can be proven.
  Unknown,
};

/// Returns the value of the outcome header: `ran`, `not-run` or `unknown`.
constexpr const char *outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Ran:
    return "ran";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_OUTCOME_H
