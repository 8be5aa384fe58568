#include "tests/process/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace lagoonhitch {

namespace {

int exitCode(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Arguments,
                           const std::string &OutputFile,
                           const std::string &ErrorFile) {
  std::vector<char *> Argv;
  Argv.reserve(Arguments.size() + 1);

  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr int Flags = O_WRONLY | O_CREAT | O_APPEND;
  constexpr mode_t Mode = 0644;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, OutputFile.c_str(),
                                   Flags, Mode);
  posix_spawn_file_actions_addopen(&Actions, STDERR_FILENO, ErrorFile.c_str(),
                                   Flags, Mode);
  const int Result =
      posix_spawn(&Id_, Argv[0], &Actions, nullptr, Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Result != 0)
    throw std::runtime_error("cannot start " + Arguments[0]);
}

ChildProcess::~ChildProcess() {
  if (Id_ == 0)
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int Number) const {
  if (Id_ != 0)
    kill(Id_, Number);
}

int ChildProcess::wait() {
  if (Id_ == 0)
    return 0;
  int Status = 0;
  waitpid(Id_, &Status, 0);
  Id_ = 0;
  return exitCode(Status);
}

std::optional<int> ChildProcess::waitFor(std::chrono::milliseconds Limit) {
  constexpr std::chrono::milliseconds Pause{5};
  for (std::chrono::milliseconds Waited{0}; Waited < Limit; Waited += Pause) {
    int Status = 0;
    if (waitpid(Id_, &Status, WNOHANG) == Id_) {
      Id_ = 0;
      return exitCode(Status);
    }
    std::this_thread::sleep_for(Pause);
  }
  return std::nullopt;
}

} // namespace lagoonhitch
