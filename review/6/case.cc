// Keys that a killed daemon granted get a second holder: see claim.txt.
#include "../rig-2/rig.hpp"

using namespace rig;

namespace {

constexpr int Machines = 3;
constexpr double Down = 0.3;         // the instance's restart
constexpr double DaemonDown = 0.3;   // "restarted after a short delay"
constexpr double AllowedBoth = 0.5;  // OWNER: "for over half a second"
constexpr double Watch = 8;

struct Hold {
  int From, To;
  long long Fence;
  double Until;
};

// The keys of one instance, by the pages: a grant holds for hold-s from its
// arrival, a release ends at once.
struct Keys {
  std::mutex Mutex;
  std::vector<Hold> Holds;
  std::vector<Hold> Seen; // the highest generation of each range
  int Grants = 0;

  void cut(std::vector<Hold> &From, int First, int Last) {
    std::vector<Hold> Left;
    for (const Hold &H : From) {
      if (H.To < First || H.From > Last) {
        Left.push_back(H);
        continue;
      }
      if (H.From < First)
        Left.push_back({H.From, First - 1, H.Fence, H.Until});
      if (H.To > Last)
        Left.push_back({Last + 1, H.To, H.Fence, H.Until});
    }
    From = Left;
  }
  bool grant(int First, int Last, long long Fence, double HoldS) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const Hold &H : Seen)
      if (!(H.To < First || H.From > Last) && H.Fence > Fence)
        return false;
    cut(Seen, First, Last);
    Seen.push_back({First, Last, Fence, 0});
    cut(Holds, First, Last);
    Holds.push_back({First, Last, Fence, now() + HoldS});
    ++Grants;
    return true;
  }
  void release(int First, int Last) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    cut(Holds, First, Last);
  }
  void forget() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Holds.clear();
    Seen.clear();
    Grants = 0;
  }
  std::vector<Hold> held() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<Hold> Now;
    for (const Hold &H : Holds)
      if (H.Until > now())
        Now.push_back(H);
    return Now;
  }
  int grants() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Grants;
  }
};

std::string describe(const std::vector<Hold> &All) {
  std::string Out;
  for (const Hold &H : All)
    Out += text(" ", H.From, "-", H.To, " generation ", H.Fence);
  return Out.empty() ? " nothing" : Out;
}

} // namespace

int main(int, char **Argv) {
  const bool Trouble = begin(Argv[1]);
  const char *Only = getenv("ONLY"); // "restart" or "kill": one of the two
  Store S;
  S.put("keyed.op", "config",
        manifest(1, {{"katalog", true}},
                 {{"browse.example", "/browse/", "katalog", "idempotent", 2, 0.6, 2, 2}}));
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<std::unique_ptr<Keys>> Held;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  static const char *Zones[] = {"kv-a", "kv-b", "kv-c"};
  for (int M = 0; M < Machines; ++M) {
    Instances.push_back(std::make_unique<Instance>(text("i-", M + 1), "katalog", Zones[M], 18));
    Held.push_back(std::make_unique<Keys>());
    Instance &I = *Instances.back();
    Keys &K = *Held.back();
    I.OnControl = [&I, &K](const Message &R, int Socket) {
      const int First = static_cast<int>(number(R.Body, "from"));
      const int Last = static_cast<int>(number(R.Body, "to"));
      const long long Fence = atoll(field(R.Body, "fence").c_str());
      const std::string Expected = R.header("X-Target-Instance");
      if (!Expected.empty() && Expected != I.id())
        return sendAll(Socket, encode(response(421)));
      if (R.target() == "/release") {
        K.release(First, Last);
        note(I.id(), " releases ", First, "-", Last);
        Message Answer = response(200);
        Answer.Headers.push_back({"X-Handover", "5c0e7a21d94b36f8"});
        return sendAll(Socket, encode(Answer));
      }
      const bool Taken = K.grant(First, Last, Fence, number(R.Body, "hold-s"));
      note(I.id(), Taken ? " takes " : " refuses ", First, "-", Last, " generation ", Fence, " for ",
           field(R.Body, "hold-s"), " s");
      return sendAll(Socket, encode(response(Taken ? 200 : 409)));
    };
    I.OnRequest = [&I, &K](const Message &R, int Socket) {
      const int Key = atoi(R.header("X-Shard-Key").c_str());
      bool Holds = false;
      for (const Hold &H : K.held())
        Holds = Holds || (H.From <= Key && Key <= H.To);
      if (Holds)
        return sendAll(Socket, encode(I.answerTo(R, 200, "design")));
      Message Answer = response(421);
      Answer.Headers.push_back({"X-Request-Id", R.header("X-Request-Id")});
      Answer.Headers.push_back({"X-Not-Executed", "1"});
      return sendAll(Socket, encode(Answer));
    };
    Daemons.push_back(std::make_unique<Daemon>(
        Daemon::Settings{text("m", M + 1), Zones[M], "katalog", I.address(), S.address()}));
    I.beat(Daemons.back()->Control);
  }
  const auto HeldKeys = [&] {
    int Sum = 0;
    for (const auto &K : Held)
      for (const Hold &H : K->held())
        Sum += H.To - H.From + 1;
    return Sum;
  };
  if (!waitFor(30, [&] { return HeldKeys() == 65536; }))
    finish(2, "the keys are not all held");
  sleepFor(4); // stable-window-s is 3 s
  for (int M = 0; M < Machines; ++M)
    note(Instances[M]->id(), " holds", describe(Held[M]->held()));

  // Watches what the instances hold until the end.
  std::atomic<bool> Done{false};
  double Longest = 0;
  int MostKeys = 0;
  std::thread Watcher([&] {
    std::map<std::pair<int, int>, double> Since;
    while (!Done) {
      std::vector<std::vector<Hold>> Now;
      for (const auto &K : Held)
        Now.push_back(K->held());
      for (int A = 0; A < Machines; ++A)
        for (int B = A + 1; B < Machines; ++B) {
          int Both = 0;
          for (const Hold &X : Now[A])
            for (const Hold &Y : Now[B])
              Both += std::max(0, std::min(X.To, Y.To) - std::max(X.From, Y.From) + 1);
          if (Both == 0) {
            Since.erase({A, B});
            continue;
          }
          if (!Since.count({A, B})) {
            Since[{A, B}] = now();
            note("TWO HOLDERS: ", Instances[A]->id(), " holds", describe(Now[A]), "; ", Instances[B]->id(),
                 " holds", describe(Now[B]), "; ", Both, " keys in common");
          }
          Longest = std::max(Longest, now() - Since[{A, B}]);
          MostKeys = std::max(MostKeys, Both);
        }
      sleepFor(0.005);
    }
  });

  const bool Restarts = Trouble && (Only == nullptr || strcmp(Only, "restart") == 0);
  const bool Kills = Trouble && (Only == nullptr || strcmp(Only, "kill") == 0);
  Daemon &D = *Daemons[0];
  Keys &K = *Held[0];
  const int Before = K.grants();
  waitFor(3, [&] { return K.grants() > Before; });
  sleepFor(0.1);
  if (Restarts) {
    note("i-1 ends and starts again under its id, ", Down, " s later");
    Instances[0]->restart(Down, [&] { K.forget(); });
    if (!waitFor(0.85, [&] { return K.grants() > 0; }))
      note("no grant reached i-1 before its first report");
  }
  sleepFor(0.22); // its first report would come 0.37 s after that grant
  if (Kills) {
    note("the daemon beside i-1 is killed");
    D.kill9();
    sleepFor(DaemonDown);
    D.S_.FirstStart = false;
    D.write();
    D.start();
    note("it is started again");
  }
  sleepFor(Watch);
  Done = true;
  Watcher.join();
  for (int M = 0; M < Machines; ++M)
    note(Instances[M]->id(), " holds", describe(Held[M]->held()));
  finish(Longest > AllowedBoth ? 1 : 0,
         text("longest time with two holders: ", Longest, " s, ", MostKeys, " keys at most"));
}
