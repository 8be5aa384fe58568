// Each instance spoils one byte of one answer to a release, while zones are
// evacuated one after the other.

#include "review/rig/rig.hpp"

#include <random>

using namespace rig;

namespace {

constexpr double RunSeconds = 95;
constexpr double EvacuationSeconds = 1.5;
/// How long one time of garbled answers lasts at most.
constexpr double GarbleSeconds = 5.5;
constexpr int BrowseClients = 40;
constexpr int OrderClients = 60;
constexpr double ThinkSeconds = 2;
/// The rule: a kind of request is served less than this as often as all.
constexpr double StarvedShare = 0.25;

struct Tally {
  std::atomic<int> Sent_{0};
  std::atomic<int> Served_{0};
  double share() const { return Sent_ == 0 ? 1 : double(Served_) / Sent_; }
};

void evacuate(Site &Small, const char *Zone) {
  const std::string Key = std::string("evacuate/") + Zone;
  Small.store().operate(Key, "{}");
  sleepFor(EvacuationSeconds);
  Small.store().operate(Key, "");
}

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  Site Small(Log, 4, 2);
  Small.start();
  if (!Small.waitUntilServing(25))
    Small.finish(CannotRunExit);
  std::atomic<bool> Ended{false};
  Tally Browses;
  Tally Orders;
  std::vector<std::thread> Clients;
  for (int Number = 0; Number < BrowseClients + OrderClients; ++Number)
    Clients.emplace_back([&, Number] {
      std::mt19937 Random(static_cast<unsigned>(Number));
      while (!Ended) {
        const Host &To = Small.hosts()[Random() % Small.hosts().size()];
        const bool Browse = Number < BrowseClients;
        Tally &Kind = Browse ? Browses : Orders;
        ++Kind.Sent_;
        int Status = 0;
        if (Browse) {
          Status = Small.sendKeyed(To, static_cast<int>(Random() % 65536));
        } else {
          const std::string Id = Small.nextId();
          Status = call(To.Callers_, "POST", "/ord/x",
                        {{"Host", "ord.example"}, {"X-Request-Id", Id}, {"X-Deadline-Ms", "4000"}},
                        "order", 4)
                       .status();
          Log.line("client gets %d for order %s", Status, Id.c_str());
        }
        if (Status == 200)
          ++Kind.Served_;
        sleepFor(ThinkSeconds);
      }
    });
  const double StartedAt = now();
  sleepFor(GarbleSeconds);
  // host-0 and host-3 are in kv-a, host-1 in kv-b, host-2 in kv-c.
  const auto Spoil = [&](std::initializer_list<int> Numbers) {
    if (trouble())
      for (const int Number : Numbers)
        Small.hosts()[static_cast<std::size_t>(Number)].Instance_->spoilReleases(1);
  };
  Spoil({0, 3});
  evacuate(Small, "kv-a");
  // The second time of trouble begins when the first one, of 5.5 s, is over.
  sleepUntil(StartedAt + 2 * GarbleSeconds);
  Spoil({1, 2});
  evacuate(Small, "kv-b");
  evacuate(Small, "kv-c");
  sleepFor(6);
  const int SentLate = Browses.Sent_;
  const int ServedLate = Browses.Served_;
  Log.line("the last evacuation has ended 6 s ago");
  sleepUntil(StartedAt + RunSeconds);
  Ended = true;
  for (std::thread &Each : Clients)
    Each.join();
  const double All = double(Browses.Served_ + Orders.Served_) / (Browses.Sent_ + Orders.Sent_);
  const bool Broken = Browses.share() < StarvedShare * All;
  Log.line("%s: keyed requests served %.3f (%d of %d), orders %.3f, all %.3f; keyed requests "
           "from 6 s after the last evacuation: %d of %d",
           Broken ? "the rule Starved is broken" : "the rule Starved held", Browses.share(),
           Browses.Served_.load(), Browses.Sent_.load(), Orders.share(), All,
           Browses.Served_ - ServedLate, Browses.Sent_ - SentLate);
  Small.finish(Broken ? BrokenExit : HeldExit);
}
