// A planned restart of one daemon, and a drill in which the store comes back
// from a copy that is some seconds old.

#include "review/rig/rig.hpp"

#include <random>

using namespace rig;

namespace {

constexpr double MaxCommonHoldSeconds = 0.5;

/// Counts keys on which two instances ran requests while both held them.
std::size_t keysRunByTwo(const std::vector<Run> &Runs, double Since) {
  std::map<int, std::set<std::string>> Runners;
  for (const Run &Each : Runs)
    if (Each.At_ >= Since && Each.Key_ >= 0)
      Runners[Each.Key_].insert(Each.Instance_);
  std::size_t Count = 0;
  for (const auto &[Key, Instances] : Runners)
    Count += Instances.size() > 1 ? 1 : 0;
  return Count;
}

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  Site Small(Log, 4, 2);
  Small.start();
  if (!Small.waitUntilServing(25))
    Small.finish(CannotRunExit);
  HoldWatch Watch(Small);
  Watch.start();
  std::atomic<bool> Ended{false};
  std::thread Client([&] {
    std::mt19937 Random(7);
    while (!Ended) {
      // Few keys, so that the same ones are asked for at several daemons. The
      // platform sends nothing to a daemon that isn't ready.
      const Host &To = Small.hosts()[Random() % Small.hosts().size()];
      const int Key = static_cast<int>(Random() % 64) * 1024;
      if (call(To.Ready_, "GET", "/ready", {{"Host", "x"}}, "", 1).status() == 200)
        Small.sendKeyed(To, Key);
      sleepFor(0.01);
    }
  });
  sleepFor(2);

  const Store::Topics Copy = Small.store().copy();
  const double CopiedAt = now();
  Log.line("store: copy taken");
  sleepFor(0.5);
  Host *Owner = nullptr;
  for (Host &Each : Small.hosts())
    if (Each.Service_ == "cat" && Each.Instance_->held(0) != 0)
      Owner = &Each;
  if (Owner == nullptr)
    Small.finish(CannotRunExit);
  Host &Restarted = *Owner;
  Small.kill(Restarted, SIGTERM);
  if (!Small.waitForEnd(Restarted, 7))
    Small.finish(CannotRunExit);
  if (trouble()) {
    Log.line("drill: the store is away");
    Small.store().close();
    sleepFor(1);
    Small.store().restore(Copy);
    Small.store().open();
    Log.line("drill: the store is back from a copy %.1f s old", now() - CopiedAt);
  }
  sleepFor(0.5);
  const double RestartedAt = now();
  Small.startDaemon(Restarted);
  sleepFor(20);
  Ended = true;
  Client.join();
  Watch.stop();

  const std::size_t Doubles = keysRunByTwo(Small.runs(), RestartedAt + 3);
  const bool Broken = Watch.longest() > MaxCommonHoldSeconds;
  Log.line("%s: longest time with two holders %.2f s (key %d), most keys at a moment %zu; "
           "keys that two instances ran from 3 s after the restart: %zu",
           Broken ? "OWNER is broken" : "OWNER held", Watch.longest(), Watch.longestKey(),
           Watch.most(), Doubles);
  Small.finish(Broken ? BrokenExit : HeldExit);
}
