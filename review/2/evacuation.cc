// The history of the operators' topic is dropped while a zone is evacuated.

#include "review/rig/rig.hpp"

using namespace rig;

namespace {

constexpr const char *Zone = "kv-a";
constexpr double EvacuateSeconds = 5;
constexpr double RunSeconds = 25;
/// As for approve-proof of the site.
constexpr double WorkSeconds = 0.15;
constexpr int Clients = 8;

} // namespace

int main(int, char **Arguments) {
  Record Log(Arguments[1]);
  Site Small(Log, 3, 3, WorkSeconds);
  Small.start();
  if (!Small.waitUntilServing(25))
    Small.finish(CannotRunExit);
  std::vector<Host> &Hosts = Small.hosts();
  std::atomic<bool> Ended{false};
  const auto SendOrders = [&](std::size_t First) {
    for (std::size_t Number = First; !Ended; ++Number) {
      const std::string Id = Small.nextId();
      const Message Answer = call(Hosts[Number % Hosts.size()].Callers_, "POST", "/ord/x",
                                  {{"Host", "ord.example"}, {"X-Request-Id", Id}, {"X-Deadline-Ms", "4000"}},
                                  "order", 4);
      Log.line("client gets %d for %s", Answer.status(), Id.c_str());
      sleepFor(0.02);
    }
  };
  std::vector<std::thread> Senders;
  for (std::size_t First = 0; First < Clients; ++First)
    Senders.emplace_back(SendOrders, First);
  sleepFor(2);
  const double AckedAt = now();
  Small.store().operate(std::string("evacuate/") + Zone, "{}");
  sleepFor(4);
  if (trouble())
    Small.store().operateAndDropHistory("config", Small.manifest(2).dump());
  else
    Small.store().operate("config", Small.manifest(2).dump());
  sleepUntil(AckedAt + RunSeconds);
  Ended = true;
  for (std::thread &Each : Senders)
    Each.join();
  std::size_t Late = 0;
  for (const Run &Each : Small.runs())
    for (const Host &At : Hosts)
      if (At.Instance_->id() == Each.Instance_ && At.Zone_ == Zone &&
          Each.At_ > AckedAt + EvacuateSeconds)
        ++Late;
  Log.line("%s: %zu requests ran in %s later than %.0f s after its evacuation was acknowledged",
           Late > 0 ? "EVAC is broken" : "EVAC held", Late, Zone, EvacuateSeconds);
  Small.finish(Late > 0 ? BrokenExit : HeldExit);
}
