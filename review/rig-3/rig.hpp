#ifndef LAGOONHITCH_REVIEW_RIG_3_RIG_HPP
#define LAGOONHITCH_REVIEW_RIG_3_RIG_HPP

/// \file
/// Processes, connections and the record of a case.

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
private:
  std::vector<std::string> Words_;
  std::string Output_;
  std::size_t Descriptors_;
  pid_t Id_ = 0;
  int Status_ = 0;
};

struct HostSpec {
  std::string Service_;
  std::string Zone_;
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

} // namespace rig

#endif
