#ifndef LAGOONHITCH_TESTS_PROCESS_CHILD_PROCESS_H
#define LAGOONHITCH_TESTS_PROCESS_CHILD_PROCESS_H

/// \file
/// A child process of a test.

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A child process of a test. The destructor kills it if it is still running.
class ChildProcess {
public:
  /// Starts a program and appends its standard output and error to files.
  /// Throws std::runtime_error if it can't be started.
  /// \param Arguments the path of the program and its arguments.
  ChildProcess(const std::vector<std::string> &Arguments,
               const std::string &OutputFile, const std::string &ErrorFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Returns the process ID.
  pid_t id() const { return Id_; }

  /// Sends a signal, unless wait() or waitFor() has already seen the exit.
  void signal(int Number) const;

  /// Waits for the process to exit. Returns its exit code, or the negative
  /// signal number if a signal ended it; zero if the exit was seen before.
  int wait();

  /// Like wait(), but returns std::nullopt if the process is still running
  /// after the time limit.
  std::optional<int> waitFor(std::chrono::milliseconds Limit);

private:
  pid_t Id_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_CHILD_PROCESS_H
