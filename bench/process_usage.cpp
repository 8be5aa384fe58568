#include "bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace lagoonhitch {

double cpuSeconds(pid_t Id) {
  constexpr int UserField = 14;
  constexpr int SystemField = 15;
  std::ifstream Source("/proc/" + std::to_string(Id) + "/stat");
  std::string Field;
  double Ticks = 0;
  for (int Number = 1; Number <= SystemField && Source >> Field; ++Number)
    if (Number >= UserField)
      Ticks += std::stod(Field);
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentBytes(pid_t Id) {
  std::ifstream Source("/proc/" + std::to_string(Id) + "/statm");
  double AllPages = 0;
  double ResidentPages = 0;
  Source >> AllPages >> ResidentPages;
  return ResidentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace lagoonhitch
