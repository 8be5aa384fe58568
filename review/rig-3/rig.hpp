#ifndef LAGOONHITCH_REVIEW_RIG_3_RIG_HPP
#define LAGOONHITCH_REVIEW_RIG_3_RIG_HPP

/// \file
/// A small site of separate processes on loopback: the project's stand-ins of
/// the store and of the instances, and daemons with the deploy file's command.

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

/// The case could not run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline double now() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// The file record.txt of a case.
class Record {
public:
  explicit Record(const std::string &Path) : File_(Path) {
    if (!File_)
      throw CannotRun("cannot write " + Path);
  }
  void line(const std::string &Text) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f ", now());
    File_ << Time << Text << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream File_;
};

inline std::string environment(const char *Name, const std::string &Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : Value;
}

/// Returns a free port of an address.
inline int freePort(const std::string &Ip) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  socklen_t Size = sizeof Address;
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    throw CannotRun("no free port at " + Ip);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

inline std::string freeAddress(const std::string &Ip) {
  return Ip + ":" + std::to_string(freePort(Ip));
}

/// Connects to `ip:port`; returns -1 on failure.
inline int connectTo(const std::string &Target, double Timeout = 1.0) {
  const std::size_t Colon = Target.rfind(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  ::inet_pton(AF_INET, Target.substr(0, Colon).c_str(), &Address.sin_addr);
  Address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Target.substr(Colon + 1))));
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  ::fcntl(Socket, F_SETFL, O_NONBLOCK);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
    pollfd Wait{Socket, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof Error;
    if (errno != EINPROGRESS ||
        ::poll(&Wait, 1, static_cast<int>(Timeout * 1000)) != 1 ||
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      ::close(Socket);
      return -1;
    }
  }
  const int One = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  return Socket;
}

/// Sends all bytes of a text, for at most some seconds.
inline bool sendAll(int Socket, const std::string &Text, double Limit = 2.0) {
  const double End = now() + Limit;
  std::size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count = ::send(Socket, Text.data() + Sent, Text.size() - Sent,
                                 MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<std::size_t>(Count);
      continue;
    }
    if (Count < 0 && errno != EAGAIN && errno != EINTR)
      return false;
    const double Left = End - now();
    pollfd Wait{Socket, POLLOUT, 0};
    if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left * 1000) + 1) < 0)
      return false;
  }
  return true;
}

struct Answer {
  /// 0 without a complete answer.
  int Status_ = 0;
  std::string Head_;
  std::string Body_;
};

/// Reads one answer with a length from a connection.
inline Answer readAnswer(int Socket, double Limit) {
  const double End = now() + Limit;
  std::string Data;
  for (;;) {
    const std::size_t Head = Data.find("\r\n\r\n");
    if (Head != std::string::npos) {
      std::size_t Length = 0;
      const std::size_t Field = Data.find("Content-Length: ");
      if (Field != std::string::npos && Field < Head)
        Length = std::stoul(Data.substr(Field + 16));
      if (Data.size() >= Head + 4 + Length)
        return {std::stoi(Data.substr(9, 3)), Data.substr(0, Head + 2),
                Data.substr(Head + 4, Length)};
    }
    const double Left = End - now();
    pollfd Wait{Socket, POLLIN, 0};
    if (Left <= 0 || ::poll(&Wait, 1, static_cast<int>(Left * 1000) + 1) < 1)
      return {};
    char Bytes[65536];
    const ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count == 0 || (Count < 0 && errno != EAGAIN))
      return {};
    if (Count > 0)
      Data.append(Bytes, static_cast<std::size_t>(Count));
  }
}

/// Sends one request on a new connection and returns the answer.
inline Answer call(const std::string &Target, const std::string &Method,
                   const std::string &Path,
                   const std::vector<std::string> &Headers = {},
                   const std::string &Body = "", double Limit = 2.0) {
  const int Socket = connectTo(Target, Limit);
  if (Socket < 0)
    return {};
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  bool HasHost = false;
  for (const std::string &Header : Headers) {
    HasHost = HasHost || Header.rfind("Host:", 0) == 0;
    Text += Header + "\r\n";
  }
  if (!HasHost)
    Text += "Host: " + Target + "\r\n";
  if (!Body.empty() || Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  Answer Read;
  if (sendAll(Socket, Text, Limit))
    Read = readAnswer(Socket, Limit);
  ::close(Socket);
  return Read;
}

/// A process that this case started.
class Process {
public:
  Process(std::vector<std::string> Words, const std::string &Output,
          std::size_t Descriptors = 0)
      : Words_(std::move(Words)), Output_(Output), Descriptors_(Descriptors) {
    start();
  }
  ~Process() { end(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start() {
    std::vector<char *> Arguments;
    for (std::string &Word : Words_)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    Id_ = ::fork();
    if (Id_ < 0)
      throw CannotRun("cannot start a process");
    if (Id_ > 0)
      return;
    // Nothing outlives the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int File =
        ::open(Output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(File, 1);
    ::dup2(File, 2);
    if (Descriptors_ > 0) {
      const rlimit Limit{Descriptors_, Descriptors_};
      ::setrlimit(RLIMIT_NOFILE, &Limit);
    }
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }
  pid_t id() const { return Id_; }
  bool ended() {
    if (Id_ <= 0)
      return true;
    int Status = 0;
    if (::waitpid(Id_, &Status, WNOHANG) != Id_)
      return false;
    Id_ = 0;
    Status_ = Status;
    return true;
  }
  int status() const { return Status_; }
  void signal(int Number) const {
    if (Id_ > 0)
      ::kill(Id_, Number);
  }
  void end() {
    if (Id_ <= 0)
      return;
    ::kill(Id_, SIGKILL);
    ::waitpid(Id_, nullptr, 0);
    Id_ = 0;
  }
  /// Returns the resident memory in bytes, 0 if the process has ended.
  std::size_t residentBytes() const {
    std::ifstream Source("/proc/" + std::to_string(Id_) + "/statm");
    std::size_t Total = 0;
    std::size_t Resident = 0;
    Source >> Total >> Resident;
    return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }

private:
  std::vector<std::string> Words_;
  std::string Output_;
  std::size_t Descriptors_;
  pid_t Id_ = 0;
  int Status_ = 0;
};

inline std::string firstLine(const std::string &Path) {
  for (int Turn = 0; Turn < 500; ++Turn) {
    std::ifstream Source(Path);
    std::string Line;
    if (std::getline(Source, Line) && !Source.eof())
      return Line;
    sleepFor(0.02);
  }
  throw CannotRun("no line in " + Path);
}

struct HostSpec {
  std::string Service_;
  std::string Zone_;
};

struct Host {
  std::string Name_, Service_, Zone_, Ip_, Id_;
  std::string Upstream_, Callers_, Ready_, Announce_, Peers_, Admin_;
  std::string RunsFile_;
  std::unique_ptr<Process> Instance_;
  std::unique_ptr<Process> Daemon_;
};

struct SiteSpec {
  std::vector<HostSpec> Hosts_;
  std::string Config_;
  int MemoryMb_ = 260;
  int Descriptors_ = 4100;
  int ServiceMicros_ = 1000;
};

/// The manifest of a small deployment: `katalog` is sharded, `pruf` is not.
inline std::string smallManifest() {
  return R"({"version":"0000000c","services":[
{"name":"katalog","health-path":"/health","max-connections":130,
 "cold-start-s":3.0,"cold-per-s":17.0,"sharded":true,"warm-s":5.0,
 "grants":"direct"},
{"name":"pruf","health-path":"/health","max-connections":130,
 "cold-start-s":3.0,"cold-per-s":17.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":8388608,
 "header-timeout-s":3,"idle-timeout-s":15},
"virtual-hosts":[{"hostname":"shop.example","paths":[
{"name":"r1","path-prefix":"/katalog/","kind":"idempotent","timeout-s":4,
 "target-latency-s":0.6,"priority":2,"service":"katalog","attempts":3},
{"name":"r2","path-prefix":"/pruf/","kind":"non_idempotent","timeout-s":3,
 "target-latency-s":0.5,"priority":0,"service":"pruf","attempts":2}]}]})";
}

class Site {
public:
  Site(SiteSpec Spec, Record &Log) : Spec_(std::move(Spec)), Log_(Log) {
    ::signal(SIGPIPE, SIG_IGN);
    std::string Name = environment("TMPDIR", "/tmp") + "/lagoonhitch-case-XXXXXX";
    if (::mkdtemp(Name.data()) == nullptr)
      throw CannotRun("no temporary folder");
    Folder_ = Name;
    Store_ = std::make_unique<Process>(
        std::vector<std::string>{environment("STANDIN", ""), "store"},
        file("store.out"));
    StoreAddress_ = firstLine(file("store.out"));
    appendRecord("keyed.op", "config",
                 Spec_.Config_.empty() ? smallManifest() : Spec_.Config_);
    int Number = 0;
    for (const HostSpec &Each : Spec_.Hosts_) {
      auto Added = std::make_unique<Host>();
      Added->Name_ = "sidecar-" + std::to_string(Number);
      Added->Service_ = Each.Service_;
      Added->Zone_ = Each.Zone_;
      Added->Ip_ = "127.0.0." + std::to_string(11 + Number);
      Added->Id_ = "i-" + std::to_string(Number) + "a";
      Added->RunsFile_ = file(Added->Name_ + ".runs");
      startInstance(*Added);
      for (std::string *Address : {&Added->Callers_, &Added->Ready_,
                                   &Added->Announce_, &Added->Peers_,
                                   &Added->Admin_})
        *Address = freeAddress(Added->Ip_);
      writeSettings(*Added);
      startDaemon(*Added);
      Hosts_.push_back(std::move(Added));
      ++Number;
    }
    for (auto &Each : Hosts_)
      startReports(*Each);
  }
  ~Site() {
    for (auto &Each : Hosts_) {
      Each->Daemon_.reset();
      Each->Instance_.reset();
    }
    Store_.reset();
    if (environment("KEEP", "").empty())
      std::system(("rm -rf '" + Folder_ + "'").c_str());
    else
      std::cerr << Folder_ << "\n";
  }

  Host &host(std::size_t Index) { return *Hosts_[Index]; }
  std::size_t hosts() const { return Hosts_.size(); }
  const std::string &storeAddress() const { return StoreAddress_; }
  std::string file(const std::string &Name) const {
    return Folder_ + "/" + Name;
  }

  void startInstance(Host &Each) {
    const std::string Output = file(Each.Id_ + ".out");
    std::vector<std::string> Words = {
        environment("STANDIN", ""),
        "upstream",
        "--listen=" + (Each.Upstream_.empty() ? Each.Ip_ + ":0" : Each.Upstream_),
        "--service=" + Each.Service_,
        "--instance=" + Each.Id_,
        "--zone=" + Each.Zone_,
        "--service_us=" + std::to_string(Spec_.ServiceMicros_),
        "--runs=" + Each.RunsFile_};
    if (Each.Service_ == "katalog")
      Words.push_back("--divided");
    Each.Instance_ = std::make_unique<Process>(Words, Output);
    Each.Upstream_ = firstLine(Output);
  }

  void startReports(Host &Each) {
    const Answer Set =
        call(Each.Upstream_, "POST", "/_mode", {},
             R"({"daemon":")" + Each.Announce_ + R"(","own":")" +
                 Each.Upstream_ + R"("})");
    if (Set.Status_ != 200)
      throw CannotRun("the instance doesn't take its mode");
  }

  void writeSettings(const Host &Each) const {
    std::ofstream(file(Each.Name_ + ".json"))
        << R"({"host":")" << Each.Name_ << R"(","zone":")" << Each.Zone_
        << R"(","service":")" << Each.Service_ << R"(","upstream":")"
        << Each.Upstream_ << R"(","callers":")" << Each.Callers_
        << R"(","ready":")" << Each.Ready_ << R"(","announce":")"
        << Each.Announce_ << R"(","peers":")" << Each.Peers_
        << R"(","admin":")" << Each.Admin_ << R"(","store":")"
        << StoreAddress_ << R"(","memory_mb":)" << Spec_.MemoryMb_
        << R"(,"max_fds":)" << Spec_.Descriptors_
        << R"(,"first_start":true,"bounds":{"drain_s":2,"evacuate_s":5,)"
        << R"("stop_s":6,"max_hold_s":10,"retry_ratio":0.2,)"
        << R"("retry_slack":62,"retry_window_s":10}})" << "\n";
  }

  void startDaemon(Host &Each) {
    Each.Daemon_ = std::make_unique<Process>(
        std::vector<std::string>{environment("DAEMON", ""),
                                 "--platform=" + file(Each.Name_ + ".json")},
        file(Each.Name_ + ".log"),
        static_cast<std::size_t>(Spec_.Descriptors_));
  }

  /// Appends a record to partition 0 of a keyed topic, as the operator does.
  void appendRecord(const std::string &Topic, const std::string &Key,
                    const std::string &Value) const {
    const std::size_t Size = 1 + Key.size() + Value.size();
    std::string Data;
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Data.push_back(static_cast<char>((Size >> Shift) & 0xFF));
    Data.push_back(static_cast<char>(Key.size()));
    Data += Key + Value;
    const Answer Done = call(StoreAddress_, "POST",
                             "/log-append?topic=" + Topic + "&part=0", {}, Data);
    if (Done.Status_ != 200)
      throw CannotRun("the store doesn't take a record");
  }

  /// Waits until every daemon gets an answer from an instance of each service.
  bool waitUntilServing(double Limit) {
    const double End = now() + Limit;
    int Number = 0;
    while (now() < End) {
      bool All = true;
      for (auto &Each : Hosts_) {
        for (const char *Path : {"/katalog/1", "/pruf/1"}) {
          const Answer Got = call(
              Each->Callers_, "GET", Path,
              {"Host: shop.example",
               "X-Request-Id: warm-" + std::to_string(++Number),
               "X-Shard-Key: " + std::to_string(Number * 7919 % 65536),
               "X-Deadline-Ms: 1000"});
          All = All && Got.Status_ == 200;
        }
      }
      if (All)
        return true;
      sleepFor(0.1);
    }
    return false;
  }

private:
  SiteSpec Spec_;
  Record &Log_;
  std::string Folder_;
  std::unique_ptr<Process> Store_;
  std::string StoreAddress_;
  std::vector<std::unique_ptr<Host>> Hosts_;
};

} // namespace rig

#endif
