#ifndef LAGOONHITCH_CORE_SCOPED_FLAG_H
#define LAGOONHITCH_CORE_SCOPED_FLAG_H

/// \file
/// A flag that an exception does not leave set.

namespace lagoonhitch {

/// Sets a flag, and clears it at the end of the scope.
class ScopedFlag {
public:
  explicit ScopedFlag(bool &Flag) : Flag_(Flag) { Flag_ = true; }
  ~ScopedFlag() { Flag_ = false; }
  ScopedFlag(const ScopedFlag &) = delete;
  ScopedFlag &operator=(const ScopedFlag &) = delete;

private:
  bool &Flag_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_SCOPED_FLAG_H
