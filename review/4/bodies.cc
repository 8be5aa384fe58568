// Orders whose bodies are as long as the manifest allows, three at a time.

#include "review/rig/rig.hpp"

using namespace rig;

namespace {

/// The limit of a daemon's machine, limits.memory-mb, taken as MiB.
constexpr std::size_t MemoryLimitKilobytes = 260 * 1024;
/// max-body-bytes of the manifest.
constexpr std::size_t LongestBody = 67108864;
constexpr std::size_t UsualBody = 2000;
constexpr int OrdersAtOnce = 3;
constexpr int Rounds = 3;
constexpr double RestartSeconds = 0.5;
/// The rule: so many machines at least, and on each so many ends.
constexpr int MachinesThatCount = 2;
constexpr int EndsThatCount = 3;

std::size_t peakKilobytes(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.rfind("VmHWM:", 0) == 0)
      return std::strtoull(Line.c_str() + 6, nullptr, 10);
  return 0;
}

/// Does what the platform does with memory limits, for some time: kills a
/// process that exceeds its limit, and starts it again.
void applyMemoryLimits(Site &Watched, std::map<std::string, int> &Ends, double Seconds) {
  std::map<std::string, double> EndedAt;
  const double Until = now() + Seconds;
  while (now() < Until) {
    for (Host &Each : Watched.hosts()) {
      if (Each.Daemon_ > 0 && peakKilobytes(Each.Daemon_) > MemoryLimitKilobytes) {
        Watched.record().line("%s: daemon has used %zu kB, over its limit", Each.Name_.c_str(),
                              peakKilobytes(Each.Daemon_));
        Watched.kill(Each, SIGKILL);
        EndedAt[Each.Name_] = now();
        ++Ends[Each.Name_];
      }
      if (Each.Daemon_ < 0 && now() - EndedAt[Each.Name_] > RestartSeconds)
        Watched.startDaemon(Each);
    }
    sleepFor(0.005);
  }
}

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  Site Small(Log, 4, 2);
  Small.start();
  if (!Small.waitUntilServing(25))
    Small.finish(CannotRunExit);
  sleepFor(1);
  const std::string Body(trouble() ? LongestBody : UsualBody, 'x');
  std::map<std::string, int> Ends;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::thread> Clients;
    for (int Entry = 0; Entry < 2; ++Entry)
      for (int Order = 0; Order < OrdersAtOnce; ++Order)
        Clients.emplace_back([&, Entry] {
          const Host &To = Small.hosts()[static_cast<std::size_t>(Entry)];
          const std::string Id = Small.nextId();
          Log.line("client sends %s with %zu bytes to %s", Id.c_str(), Body.size(),
                   To.Name_.c_str());
          const Message Answer = call(To.Callers_, "POST", "/ord/x",
                                      {{"Host", "ord.example"},
                                       {"X-Request-Id", Id},
                                       {"X-Deadline-Ms", "4000"}},
                                      Body, 4);
          Log.line("client gets %d for %s", Answer.status(), Id.c_str());
        });
    applyMemoryLimits(Small, Ends, 8);
    for (std::thread &Each : Clients)
      Each.join();
  }
  int Machines = 0;
  for (const auto &[Name, Count] : Ends) {
    Log.line("%s: its daemon ended %d times", Name.c_str(), Count);
    Machines += Count >= EndsThatCount ? 1 : 0;
  }
  for (const Host &Each : Small.hosts())
    Log.line("%s: its daemon has used %zu kB at most since its last start", Each.Name_.c_str(),
             peakKilobytes(Each.Daemon_));
  const bool Broken = Machines >= MachinesThatCount;
  Log.line("%s: on %d of %zu machines processes ended %d times or more",
           Broken ? "the rule on faults is broken" : "the rule on faults held", Machines,
           Small.hosts().size(), EndsThatCount);
  Small.finish(Broken ? BrokenExit : HeldExit);
}
