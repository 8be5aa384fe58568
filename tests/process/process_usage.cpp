#include "tests/process/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace lagoonhitch {

std::size_t peakMemory(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Word;
  while (Status >> Word)
    if (Word == "VmHWM:") {
      std::size_t Kilobytes = 0;
      Status >> Kilobytes;
      return Kilobytes;
    }
  return 0;
}

std::size_t openDescriptors(pid_t Process) {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Open(
      "/proc/" + std::to_string(Process) + "/fd", Ignored);
  return static_cast<std::size_t>(
      std::distance(begin(Open), std::filesystem::directory_iterator()));
}

} // namespace lagoonhitch
