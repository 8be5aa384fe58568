/// \file
/// Instances that crash and are back at once under their ids. Their first
/// liveness report arrives a little later.

#include "live_site.hpp"

#include <random>

namespace {

int run(const std::string &RecordFile) {
  rig::Record &Log = *new rig::Record(RecordFile);
  const bool Trouble = rig::environment("TROUBLE", "1") != "0";
  const double ReportDelay =
      std::stod(rig::environment("REPORT_DELAY", "0.87"));
  // Never destroyed: threads of the stand-ins use it until the end.
  const double Down = std::stod(rig::environment("DOWN", "0.1"));
  const double CallGap = std::stod(rig::environment("CALL_GAP", "0.5"));
  rig::LiveSite &Site = *new rig::LiveSite({{"katalog", "kv-a"},
                                            {"pruf", "kv-a"},
                                            {"katalog", "kv-b"},
                                            {"pruf", "kv-b"}},
                                           Log);
  if (!Site.waitUntilServing(20))
    throw rig::CannotRun("the site doesn't serve");
  Log.line("the site serves");
  std::atomic<bool> Done{false};
  std::map<int, int> Statuses;
  std::thread Callers([&] {
    for (int Number = 0; !Done; ++Number) {
      const rig::Answer Got = rig::call(
          Site.host(static_cast<std::size_t>(Number) % Site.hosts()).Callers_,
          "GET", "/katalog/" + std::to_string(Number),
          {"Host: shop.example", "X-Request-Id: plain-" + std::to_string(Number),
           "X-Shard-Key: " + std::to_string(Number * 7919 % 65536),
           "X-Deadline-Ms: 1000"},
          "", 1.0);
      ++Statuses[Got.Status_];
      rig::sleepFor(CallGap);
    }
  });
  rig::sleepFor(5);
  std::mt19937 Random{std::random_device()()};
  std::uniform_real_distribution<double> Calm(6.5, 7.5);
  for (const std::size_t Index : {std::size_t{0}, std::size_t{2},
                                  std::size_t{0}, std::size_t{2}}) {
    if (Trouble)
      Site.host(Index).Instance_->restart(Down, ReportDelay);
    rig::sleepFor(Calm(Random));
  }
  Done = true;
  Callers.join();
  Site.end();
  for (std::size_t Index = 0; Index < Site.hosts(); ++Index)
    Site.host(Index).Instance_->finish();
  std::string Text = "answers:";
  for (const auto &[Status, Count] : Statuses)
    Text += " " + std::to_string(Status) + " x " + std::to_string(Count);
  Log.line(Text);
  const bool Broken = rig::staleGrants(Site.seen(), Log) > 0;
  Log.line(Broken ? "OWNER: broken" : "OWNER: held");
  return Broken ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  int Result = 2;
  try {
    Result = run(Arguments[1]);
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
  }
  // The threads of the stand-ins still wait on their sockets.
  std::_Exit(Result);
}
