/// \file
/// Clients that send large headers of many short fields, chunked bodies that
/// stop just short of their end, and stay open. A daemon whose resident memory
/// exceeds the machine's is killed and started again, as the platform does.

#include "rig.hpp"

#include <algorithm>
#include <atomic>

namespace {

constexpr std::size_t MemoryMb = 260;
constexpr int Descriptors = 4100;
constexpr std::size_t Crowd = 2000;
constexpr std::size_t BodyBytes = 40000;
constexpr int Waves = 4;
constexpr double WaveSeconds = 4.5;
/// Ends of a machine's process from which the rule counts the machine.
constexpr int CountedEnds = 3;
constexpr std::size_t CountedMachines = 2;

std::string crowdRequest(std::size_t HeaderBytes) {
  std::string Text = "POST /pruf/1 HTTP/1.1\r\n"
                     "Host: shop.example\r\n"
                     "X-Request-Id: crowd\r\n"
                     "X-Deadline-Ms: 3000\r\n"
                     "Transfer-Encoding: chunked\r\n";
  const std::string Field = "X-A: 12345\r\n";
  while (Text.size() + Field.size() + 2 <= HeaderBytes)
    Text += Field;
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx", BodyBytes + 2);
  return Text + "\r\n" + Size + "\r\n" + std::string(BodyBytes, 'x');
}

struct Case {
  rig::Site &Site_;
  rig::Record &Log_;
  std::atomic<bool> Done_{false};
  std::vector<int> Ends_;
  std::vector<std::size_t> PeakBytes_;
  std::vector<int> Answered_;
  std::vector<int> Failed_;

  /// Kills a daemon that exceeds its memory, and starts ended ones again.
  /// Returns whether one was started.
  bool watch() {
    bool Started = false;
    for (std::size_t Index = 0; Index < Site_.hosts(); ++Index) {
      rig::Host &Each = Site_.host(Index);
      const std::size_t Bytes = Each.Daemon_->residentBytes();
      PeakBytes_[Index] = std::max(PeakBytes_[Index], Bytes);
      const bool Ended = Each.Daemon_->ended();
      if (!Ended && Bytes <= MemoryMb * 1024 * 1024)
        continue;
      ++Ends_[Index];
      Log_.line(Each.Name_ +
                (Ended ? " ended by itself, status " +
                             std::to_string(Each.Daemon_->status())
                       : " has " + std::to_string(Bytes / 1024 / 1024) +
                             " MB of " + std::to_string(MemoryMb) +
                             ": killed for its memory"));
      Each.Daemon_->end();
      rig::sleepFor(0.3);
      Each.Daemon_->start();
      Started = true;
    }
    return Started;
  }

  /// Sends ordinary requests to all machines until the case is done.
  void callOrdinarily() {
    for (int Number = 0; !Done_; ++Number) {
      const std::size_t Index = static_cast<std::size_t>(Number) % Site_.hosts();
      const rig::Answer Got = rig::call(
          Site_.host(Index).Callers_, "GET",
          "/katalog/" + std::to_string(Number),
          {"Host: shop.example", "X-Request-Id: plain-" + std::to_string(Number),
           "X-Shard-Key: " + std::to_string(Number * 7919 % 65536),
           "X-Deadline-Ms: 1500"},
          "", 1.5);
      ++(Got.Status_ == 200 ? Answered_ : Failed_)[Index];
      rig::sleepFor(0.05);
    }
  }

  void wave(std::size_t Index, const std::string &Text) {
    std::vector<int> Open;
    const double Start = rig::now();
    std::size_t Refused = 0;
    bool Ended = false;
    for (std::size_t Number = 0; Number < Crowd && !Ended; ++Number) {
      const int Socket = rig::connectTo(Site_.host(Index).Callers_);
      if (Socket < 0 || !rig::sendAll(Socket, Text))
        ++Refused;
      if (Socket >= 0)
        Open.push_back(Socket);
      Ended = Number % 8 == 0 && watch();
    }
    Log_.line(Site_.host(Index).Name_ + ": " + std::to_string(Open.size()) +
              " connections with a header of " +
              std::to_string(Text.find("\r\n\r\n") + 4) + " bytes and " +
              std::to_string(BodyBytes) + " bytes of a chunked body; " +
              std::to_string(Refused) + " not taken");
    while (!Ended && rig::now() < Start + WaveSeconds) {
      Ended = watch();
      rig::sleepFor(0.01);
    }
    for (const int Socket : Open)
      ::close(Socket);
  }
};

int run(const std::string &RecordFile) {
  rig::Record Log(RecordFile);
  const bool Trouble = rig::environment("TROUBLE", "1") != "0";
  const std::size_t HeaderBytes =
      std::stoul(rig::environment("HEADER_BYTES", "16000"));
  const rlimit Limit{4096, 4096};
  if (::setrlimit(RLIMIT_NOFILE, &Limit) != 0) {
    rlimit Now{};
    ::getrlimit(RLIMIT_NOFILE, &Now);
    if (Now.rlim_cur < Crowd + 200)
      throw rig::CannotRun("too few descriptors");
  }
  rig::SiteSpec Spec;
  Spec.Hosts_ = {{"katalog", "kv-a"},
                 {"pruf", "kv-a"},
                 {"katalog", "kv-b"},
                 {"pruf", "kv-b"}};
  Spec.MemoryMb_ = static_cast<int>(MemoryMb);
  Spec.Descriptors_ = Descriptors;
  rig::Site Site(Spec, Log);
  if (!Site.waitUntilServing(20))
    throw rig::CannotRun("the site doesn't serve");
  Log.line("the site serves");
  Case Running{Site, Log, {}, {}, {}, {}, {}};
  Running.Ends_.resize(Site.hosts());
  Running.PeakBytes_.resize(Site.hosts());
  Running.Answered_.resize(Site.hosts());
  Running.Failed_.resize(Site.hosts());
  std::thread Ordinary([&Running] { Running.callOrdinarily(); });
  const std::string Text = crowdRequest(HeaderBytes);
  for (int Number = 0; Number < Waves; ++Number)
    for (const std::size_t Index : {std::size_t{1}, std::size_t{3}}) {
      if (Trouble)
        Running.wave(Index, Text);
      // Calm after each wave; the daemon may have started again.
      const double End = rig::now() + (Trouble ? 2.0 : 4.0);
      while (rig::now() < End) {
        Running.watch();
        rig::sleepFor(0.02);
      }
    }
  Running.Done_ = true;
  Ordinary.join();
  std::size_t Machines = 0;
  for (std::size_t Index = 0; Index < Site.hosts(); ++Index) {
    Log.line(Site.host(Index).Name_ + ": ends " +
             std::to_string(Running.Ends_[Index]) + ", peak " +
             std::to_string(Running.PeakBytes_[Index] / 1024 / 1024) +
             " MB, ordinary requests " +
             std::to_string(Running.Answered_[Index]) + " answered, " +
             std::to_string(Running.Failed_[Index]) + " not");
    Machines += Running.Ends_[Index] >= CountedEnds ? 1 : 0;
  }
  const bool Broken = Machines >= CountedMachines;
  Log.line(Broken ? "Fault: broken" : "Fault: held");
  return Broken ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  try {
    return run(Arguments[1]);
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
}
