#ifndef LAGOONHITCH_REVIEW_RIG_3_LIVE_SITE_HPP
#define LAGOONHITCH_REVIEW_RIG_3_LIVE_SITE_HPP

/// \file
/// A site whose store and instances run in threads of the case. Only the
/// daemons are processes.

#include "servers.hpp"

namespace rig {

/// As on the machines of the small sites.
constexpr std::size_t MaxDescriptors = 4100;

struct LiveHost {
  std::string Name_, Service_, Zone_, Ip_;
  std::string Callers_, Ready_, Announce_, Peers_, Admin_;
  std::unique_ptr<Instance> Instance_;
  std::unique_ptr<Process> Daemon_;
};

class LiveSite {
public:
  LiveSite(const std::vector<HostSpec> &Specs, Record &Log)
      : Log_(Log), Store_("127.0.0.1") {
    ::signal(SIGPIPE, SIG_IGN);
    std::string Name =
        environment("TMPDIR", "/tmp") + "/lagoonhitch-case-XXXXXX";
    if (::mkdtemp(Name.data()) == nullptr)
      throw CannotRun("no temporary folder");
    Folder_ = Name;
    Store_.put("keyed.op", "config", smallManifest());
    int Number = 0;
    for (const HostSpec &Each : Specs) {
      auto Added = std::make_unique<LiveHost>();
      Added->Name_ = "sidecar-" + std::to_string(Number);
      Added->Service_ = Each.Service_;
      Added->Zone_ = Each.Zone_;
      Added->Ip_ = "127.0.0." + std::to_string(11 + Number);
      Added->Instance_ = std::make_unique<Instance>(
          Added->Ip_, "i-" + std::to_string(Number), Each.Service_, Each.Zone_,
          Each.Service_ == "katalog", Seen_, Log_);
      for (std::string *Address :
           {&Added->Callers_, &Added->Ready_, &Added->Announce_,
            &Added->Peers_, &Added->Admin_})
        *Address = freeAddress(Added->Ip_);
      std::ofstream(file(Added->Name_ + ".json"))
          << R"({"host":")" << Added->Name_ << R"(","zone":")" << Each.Zone_
          << R"(","service":")" << Each.Service_ << R"(","upstream":")"
          << Added->Instance_->address() << R"(","callers":")"
          << Added->Callers_ << R"(","ready":")" << Added->Ready_
          << R"(","announce":")" << Added->Announce_ << R"(","peers":")"
          << Added->Peers_ << R"(","admin":")" << Added->Admin_
          << R"(","store":")" << Store_.address()
          << R"(","memory_mb":260,"max_fds":)" << MaxDescriptors
          << R"(,"first_start":true,"bounds":{"drain_s":2,"evacuate_s":5,)"
          << R"("stop_s":6,"max_hold_s":10,"retry_ratio":0.2,)"
          << R"("retry_slack":62,"retry_window_s":10}})" << "\n";
      Added->Daemon_ = std::make_unique<Process>(
          std::vector<std::string>{environment("DAEMON", ""),
                                   "--platform=" +
                                       file(Added->Name_ + ".json")},
          file(Added->Name_ + ".log"), MaxDescriptors);
      Hosts_.push_back(std::move(Added));
      ++Number;
    }
    for (auto &Each : Hosts_)
      Each->Instance_->startReports(Each->Announce_);
  }
  ~LiveSite() { end(); }
  void end() {
    for (auto &Each : Hosts_)
      Each->Daemon_->end();
    if (!environment("KEEP", "").empty())
      std::cerr << Folder_ << "\n";
    else
      std::system(("rm -rf '" + Folder_ + "'").c_str());
  }
  std::string file(const std::string &Name) const {
    return Folder_ + "/" + Name;
  }
  LiveHost &host(std::size_t Index) { return *Hosts_[Index]; }
  std::size_t hosts() const { return Hosts_.size(); }
  Store &store() { return Store_; }
  Seen &seen() { return Seen_; }

  bool waitUntilServing(double Limit) {
    const double End = now() + Limit;
    int Number = 0;
    while (now() < End) {
      bool All = true;
      for (auto &Each : Hosts_)
        for (const char *Path : {"/katalog/1", "/pruf/1"})
          All = All &&
                call(Each->Callers_, "GET", Path,
                     {"Host: shop.example",
                      "X-Request-Id: warm-" + std::to_string(++Number),
                      "X-Shard-Key: " + std::to_string(Number * 7919 % 65536),
                      "X-Deadline-Ms: 1000"})
                        .Status_ == 200;
      if (All)
        return true;
      sleepFor(0.1);
    }
    return false;
  }

private:
  Record &Log_;
  Seen Seen_;
  Store Store_;
  std::string Folder_;
  std::vector<std::unique_ptr<LiveHost>> Hosts_;
};

} // namespace rig

#endif
