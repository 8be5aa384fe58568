/// \file
/// An instance starts while its machine's clock is ahead, crashes a second
/// later, and starts again with the clock set back. Its next life seems older
/// than the one before. Later it drains.

#include "live_site.hpp"

namespace {

constexpr double DrainSeconds = 2.0;
/// "a little longer (at times many seconds)".
constexpr double LongerSeconds = 6.0;
constexpr int WorkMillis = 1000;
constexpr int StepMillis = 2000;

int run(const std::string &RecordFile) {
  rig::Record &Log = *new rig::Record(RecordFile);
  // Few requests come until the third life runs.
  std::atomic<bool> Busy{false};
  const double Down = std::stod(rig::environment("DOWN", "0.1"));
  const bool Trouble = rig::environment("TROUBLE", "1") != "0";
  // Never destroyed: threads of the stand-ins use it until the end.
  rig::LiveSite &Site = *new rig::LiveSite({{"katalog", "kv-a"},
                                            {"pruf", "kv-a"},
                                            {"pruf", "kv-a"},
                                            {"pruf", "kv-b"},
                                            {"pruf", "kv-b"},
                                            {"pruf", "kv-c"},
                                            {"pruf", "kv-c"}},
                                           Log);
  if (!Site.waitUntilServing(20))
    throw rig::CannotRun("the site doesn't serve");
  Log.line("the site serves");
  std::atomic<bool> Done{false};
  std::vector<std::thread> Callers;
  std::mutex Mutex;
  std::map<int, int> Statuses;
  for (std::size_t Index = 0; Index < 3 * Site.hosts(); ++Index)
    Callers.emplace_back([&, Index] {
      for (int Number = 0; !Done; ++Number) {
        while (Index >= Site.hosts() && !Busy && !Done)
          rig::sleepFor(0.01);
        const rig::Answer Got = rig::call(
            Site.host(Index % Site.hosts()).Callers_, "POST", "/pruf/" + std::to_string(Number),
            {"Host: shop.example",
             "X-Request-Id: plain-" + std::to_string(Index) + "-" +
                 std::to_string(Number),
             "X-Deadline-Ms: 2800"},
            "x", 2.9);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          ++Statuses[Got.Status_];
        }
        rig::sleepFor(Busy ? 0.3 : 1.0);
      }
    });
  for (std::size_t Index = 1; Index < Site.hosts(); ++Index)
    Site.host(Index).Instance_->ServiceMillis_ = WorkMillis;
  rig::Instance &Each = *Site.host(1).Instance_;
  rig::sleepFor(4);
  // The clock is ahead when the second life starts, and right again when it
  // crashes.
  Each.restart(Down, 0, Trouble ? StepMillis : 0);
  rig::sleepFor(1);
  Each.restart(Down, 0);
  // The machine is in touch again well before the instance drains.
  rig::sleepFor(6);
  Busy = true;
  rig::sleepFor(2);
  Each.Draining_ = true;
  Log.line(Each.id() + " reports that it drains");
  const double GiveUpAt = rig::now() + 5;
  while (Each.DrainAckedAt_ == 0 && rig::now() < GiveUpAt)
    rig::sleepFor(0.01);
  rig::sleepFor(DrainSeconds + LongerSeconds);
  Each.leave(Site.host(1).Announce_);
  rig::sleepFor(3);
  Done = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  Site.end();
  const double AckedAt = Each.DrainAckedAt_;
  int Late = 0;
  int All = 0;
  int Cut = 0;
  {
    const std::lock_guard<std::mutex> Lock(Site.seen().Mutex_);
    for (const rig::Run &Run : Site.seen().Runs_) {
      if (Run.Instance_ != Each.id() + " life 3")
        continue;
      ++All;
      if (AckedAt == 0 || Run.Begin_ < AckedAt + DrainSeconds)
        continue;
      ++Late;
      Cut += Run.Cut_ ? 1 : 0;
      Log.line("request " + Run.Id_ + " reaches " + Run.Instance_ + " " +
               std::to_string(Run.Begin_ - AckedAt) + " s after the ack");
    }
  }
  std::string Text = "answers:";
  for (const auto &[Status, Count] : Statuses)
    Text += " " + std::to_string(Status) + " x " + std::to_string(Count);
  Log.line(Text + "; requests at the third life " + std::to_string(All) +
           ", later than drain-s after its ack " + std::to_string(Late) +
           ", of these unfinished at its exit " + std::to_string(Cut));
  if (AckedAt == 0)
    throw rig::CannotRun("the draining wasn't acknowledged");
  Log.line(Late > 0 ? "DRAIN: broken" : "DRAIN: held");
  return Late > 0 ? 1 : 0;
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
