// A small rig for review cases: stand-ins of the platform's store and of
// instances, a client, and the start of daemons as the deploy file runs them.
// Standard library and POSIX only. Every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline Clock::time_point started() {
  static const Clock::time_point At = Clock::now();
  return At;
}
inline double now() {
  return std::chrono::duration<double>(Clock::now() - started()).count();
}
inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline long long unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---- record.txt
inline std::ofstream &recordFile() {
  static std::ofstream File;
  return File;
}
inline void record(const std::string &Line) {
  static std::mutex Mutex;
  const std::lock_guard<std::mutex> Lock(Mutex);
  char Head[32];
  snprintf(Head, sizeof Head, "%8.3f s  ", now());
  recordFile() << Head << Line << std::endl;
}
template <typename... Parts> std::string text(const Parts &...All) {
  std::ostringstream Out;
  (Out << ... << All);
  return Out.str();
}
template <typename... Parts> void note(const Parts &...All) {
  record(text(All...));
}

// ---- messages
struct Message {
  std::string First; // request line or status line
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const size_t A = First.find(' ');
    return First.substr(A + 1, First.find(' ', A + 1) - A - 1);
  }
  int status() const { return atoi(First.c_str() + 9); }
  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
};

inline std::string encode(const Message &M, bool WithLength = true) {
  std::string Out = M.First + "\r\n";
  for (const auto &[Key, Value] : M.Headers)
    Out += Key + ": " + Value + "\r\n";
  if (WithLength)
    Out += "Content-Length: " + std::to_string(M.Body.size()) + "\r\n";
  return Out + "\r\n" + M.Body;
}

inline void setTimeout(int Socket, double Seconds) {
  timeval Time{};
  Time.tv_sec = static_cast<time_t>(Seconds);
  Time.tv_usec = static_cast<suseconds_t>((Seconds - Time.tv_sec) * 1e6);
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof Time);
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof Time);
}

inline bool sendAll(int Socket, const std::string &Data) {
  size_t Sent = 0;
  while (Sent < Data.size()) {
    const ssize_t N =
        send(Socket, Data.data() + Sent, Data.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      return false;
    Sent += static_cast<size_t>(N);
  }
  return true;
}

enum class Read { Whole, Closed, Cut, Reset, Late };
inline const char *nameOf(Read R) {
  switch (R) {
  case Read::Whole: return "whole";
  case Read::Closed: return "closed before any byte";
  case Read::Cut: return "ended early";
  case Read::Reset: return "connection reset";
  case Read::Late: return "nothing in time";
  }
  return "";
}

// Reads one message with a length. Buffer keeps bytes of the next one.
inline Read readMessage(int Socket, std::string &Buffer, Message &Out) {
  const auto More = [&]() -> Read {
    char Block[16384];
    const ssize_t N = recv(Socket, Block, sizeof Block, 0);
    if (N > 0) {
      Buffer.append(Block, static_cast<size_t>(N));
      return Read::Whole;
    }
    if (N == 0)
      return Buffer.empty() ? Read::Closed : Read::Cut;
    return errno == EAGAIN || errno == EWOULDBLOCK ? Read::Late : Read::Reset;
  };
  size_t End;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (const Read R = More(); R != Read::Whole)
      return R;
  Out = Message();
  std::istringstream Head(Buffer.substr(0, End));
  std::string Line;
  std::getline(Head, Out.First);
  if (!Out.First.empty() && Out.First.back() == '\r')
    Out.First.pop_back();
  size_t Length = 0;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Value = Line.substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    Out.Headers.push_back({Line.substr(0, Colon), Value});
    if (strcasecmp(Line.substr(0, Colon).c_str(), "Content-Length") == 0)
      Length = strtoull(Value.c_str(), nullptr, 10);
  }
  Buffer.erase(0, End + 4);
  while (Buffer.size() < Length)
    if (const Read R = More(); R != Read::Whole)
      return R == Read::Closed ? Read::Cut : R;
  Out.Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return Read::Whole;
}

inline sockaddr_in addressOf(const std::string &Address) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  const size_t Colon = Address.find(':');
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
  To.sin_port = htons(static_cast<uint16_t>(atoi(Address.c_str() + Colon + 1)));
  return To;
}

inline int connectTo(const std::string &Address, double Timeout = 2,
                     int ReceiveBuffer = 0) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBuffer > 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof ReceiveBuffer);
  setTimeout(Socket, Timeout);
  const int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  const sockaddr_in To = addressOf(Address);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

// One call on a connection of its own.
inline Read call(const std::string &Address, const Message &Request,
                 Message &Answer, double Timeout = 2) {
  const int Socket = connectTo(Address, Timeout);
  if (Socket < 0)
    return Read::Reset;
  std::string Buffer;
  Read R = Read::Reset;
  if (sendAll(Socket, encode(Request)))
    R = readMessage(Socket, Buffer, Answer);
  close(Socket);
  return R;
}

// Returns a free port; TCP and UDP.
inline std::string freeAddress() {
  static std::mutex Mutex;
  static std::vector<int> Given;
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (int Try = 0; Try < 200; ++Try) {
    const int Tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in At = addressOf("127.0.0.1:0");
    socklen_t Size = sizeof At;
    int Port = 0;
    if (bind(Tcp, reinterpret_cast<sockaddr *>(&At), sizeof At) == 0 &&
        getsockname(Tcp, reinterpret_cast<sockaddr *>(&At), &Size) == 0 &&
        bind(Udp, reinterpret_cast<sockaddr *>(&At), sizeof At) == 0)
      Port = ntohs(At.sin_port);
    close(Tcp);
    close(Udp);
    if (Port != 0 && std::find(Given.begin(), Given.end(), Port) == Given.end()) {
      Given.push_back(Port);
      return "127.0.0.1:" + std::to_string(Port);
    }
  }
  fprintf(stderr, "no free port\n");
  exit(2);
}

// ---- a server with one thread a connection
class Server {
public:
  // Handles one request; Socket is the connection. Returns false to close it.
  using Handler = std::function<bool(const Message &, int Socket)>;
  Server(const std::string &Address, Handler Handle)
      : Address_(Address), Handle_(std::move(Handle)) {
    start();
  }
  const std::string &address() const { return Address_; }

  void start() {
    const int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int One = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    const sockaddr_in At = addressOf(Address_);
    if (bind(Listener, reinterpret_cast<const sockaddr *>(&At), sizeof At) != 0 ||
        listen(Listener, 512) != 0) {
      perror("listen");
      exit(2);
    }
    Listener_ = Listener;
    std::thread([this, Listener] { accept(Listener); }).detach();
  }

  // As if the process were killed: the port is closed, connections end.
  void stop() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    shutdown(Listener_, SHUT_RDWR);
    for (const int Socket : Open_)
      shutdown(Socket, SHUT_RDWR);
  }

private:
  void accept(int Listener) {
    for (;;) {
      const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        break;
      const int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        Open_.insert(Socket);
      }
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
    close(Listener);
  }
  void serve(int Socket) {
    std::string Buffer;
    Message Request;
    while (readMessage(Socket, Buffer, Request) == Read::Whole)
      if (!Handle_(Request, Socket))
        break;
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Open_.erase(Socket);
    close(Socket);
  }

  std::string Address_;
  Handler Handle_;
  std::mutex Mutex_;
  std::set<int> Open_;
  int Listener_ = -1;
};

inline Message response(int Status, const std::string &Body = "",
                        const std::string &Type = "application/json") {
  Message M;
  M.First = text("HTTP/1.1 ", Status, Status == 200 ? " OK" : " Answer");
  if (!Body.empty())
    M.Headers.push_back({"Content-Type", Type});
  M.Body = Body;
  return M;
}

// ---- JSON: only what the stand-ins need
inline std::string field(const std::string &Json, const std::string &Name) {
  const size_t At = Json.find("\"" + Name + "\":");
  if (At == std::string::npos)
    return {};
  size_t Begin = At + Name.size() + 3;
  if (Json[Begin] == '"')
    return Json.substr(Begin + 1, Json.find('"', Begin + 1) - Begin - 1);
  return Json.substr(Begin, Json.find_first_of(",}", Begin) - Begin);
}
inline double number(const std::string &Json, const std::string &Name) {
  return atof(field(Json, Name).c_str());
}
inline std::string base64(const std::string &In) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < In.size(); I += 3) {
    unsigned Block = static_cast<unsigned char>(In[I]) << 16U;
    if (I + 1 < In.size())
      Block |= static_cast<unsigned char>(In[I + 1]) << 8U;
    if (I + 2 < In.size())
      Block |= static_cast<unsigned char>(In[I + 2]);
    Out += Digits[Block >> 18U];
    Out += Digits[(Block >> 12U) & 63U];
    Out += I + 1 < In.size() ? Digits[(Block >> 6U) & 63U] : '=';
    Out += I + 2 < In.size() ? Digits[Block & 63U] : '=';
  }
  return Out;
}

// ---- the platform's store: keyed topics, one partition each
class Store {
public:
  Store() : Server_(freeAddress(), [this](const Message &R, int S) {
      return handle(R, S);
    }) {}
  const std::string &address() const { return Server_.address(); }

  // What the operator or an instance writes.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Topics_[Topic].push_back({Key, Value, now()});
    Changed_.notify_all();
  }

  // States an era in all answers from now on.
  void stateEra() { Era_ = 1; }

  // A drill: away for some time, then back from a copy that was Age seconds old
  // when it went away. What the operator wrote since is written again.
  void drill(double Away, double Age) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Down_ = true;
      ++Generation_;
      Changed_.notify_all();
    }
    const double CopyAt = now() - Age;
    sleepFor(Away);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::map<std::string, std::string> Operator;
    for (const Entry &E : Topics_["keyed.op"])
      Operator[E.Key] = E.Value;
    for (auto &[Name, Log] : Topics_)
      while (!Log.empty() && Log.back().At > CopyAt)
        Log.pop_back();
    Epochs_.clear();
    while (!EpochLog_.empty() && EpochLog_.back().At > CopyAt)
      EpochLog_.pop_back();
    for (const EpochEntry &E : EpochLog_)
      Epochs_[E.Key] = E.Epoch;
    std::map<std::string, std::string> Copy;
    for (const Entry &E : Topics_["keyed.op"])
      Copy[E.Key] = E.Value;
    for (const auto &[Key, Value] : Operator)
      if (!Copy.count(Key) || Copy[Key] != Value)
        Topics_["keyed.op"].push_back({Key, Value, now()});
    ++Era_;
    Down_ = false;
  }

  // May keep a call from being answered: set to delay or lose answers.
  std::function<bool(const Message &)> Before;

private:
  struct Entry {
    std::string Key, Value;
    double At;
  };
  struct EpochEntry {
    std::string Key;
    unsigned long long Epoch;
    double At;
  };
  static std::string query(const std::string &Target, const std::string &Name) {
    for (size_t At = Target.find('?'); At != std::string::npos;
         At = Target.find('&', At + 1))
      if (Target.compare(At + 1, Name.size() + 1, Name + "=") == 0) {
        const size_t Begin = At + 2 + Name.size();
        return Target.substr(Begin, Target.find('&', Begin) - Begin);
      }
    return {};
  }
  static void big(std::string &Out, unsigned long long N, int Bytes) {
    for (int I = Bytes - 1; I >= 0; --I)
      Out += static_cast<char>((N >> (8 * I)) & 255U);
  }
  bool handle(const Message &R, int Socket) {
    if (Before && !Before(R))
      return false;
    if (Down_) {
      sleepFor(1.2);
      return false;
    }
    const int Generation = Generation_;
    Message Answer = answer(R);
    if (Generation != Generation_)
      return false;
    if (Era_ > 0)
      Answer.Headers.push_back({"Store-Era", std::to_string(Era_)});
    return sendAll(Socket, encode(Answer));
  }
  Message answer(const Message &R) {
    const std::string Target = R.target();
    const std::string Topic = query(Target, "topic");
    std::unique_lock<std::mutex> Lock(Mutex_);
    std::vector<Entry> &Log = Topics_[Topic];
    if (Target.rfind("/log-append", 0) == 0) {
      const std::string Producer = query(Target, "producer");
      if (!Producer.empty()) {
        unsigned long long &Epoch = Epochs_[Topic + "/" + Producer];
        const unsigned long long Asked =
            strtoull(query(Target, "epoch").c_str(), nullptr, 10);
        if (Asked < Epoch)
          return response(409, "{\"why\":\"fenced\"}");
        Epoch = Asked;
        EpochLog_.push_back({Topic + "/" + Producer, Asked, now()});
      }
      const std::string At = query(Target, "at");
      if (!At.empty() && strtoull(At.c_str(), nullptr, 10) != Log.size())
        return response(412, text("{\"end\":", Log.size(), "}"));
      const size_t First = Log.size();
      for (size_t P = 0; P + 5 <= R.Body.size();) {
        size_t Size = 0;
        for (int I = 0; I < 4; ++I)
          Size = Size << 8U | static_cast<unsigned char>(R.Body[P++]);
        const size_t KeySize = static_cast<unsigned char>(R.Body[P]);
        Log.push_back({R.Body.substr(P + 1, KeySize),
                       R.Body.substr(P + 1 + KeySize, Size - 1 - KeySize), now()});
        P += Size;
      }
      Changed_.notify_all();
      return response(200, text("{\"offset\":", First, ",\"end\":", Log.size(), "}"));
    }
    if (Target.rfind("/log-read", 0) == 0) {
      const size_t From = strtoull(query(Target, "from").c_str(), nullptr, 10);
      if (From > Log.size())
        return response(410, "{\"first\":0}");
      const double Wait = atof(query(Target, "wait-ms").c_str()) / 1000;
      const int Generation = Generation_;
      Changed_.wait_for(Lock, std::chrono::duration<double>(Wait), [&] {
        return Topics_[Topic].size() > From || Generation != Generation_;
      });
      const std::vector<Entry> &Now = Topics_[Topic];
      std::string Body;
      big(Body, Now.size(), 8);
      big(Body, 0, 8);
      for (size_t I = From; I < Now.size(); ++I) {
        big(Body, 1 + Now[I].Key.size() + Now[I].Value.size(), 4);
        big(Body, Now[I].Key.size(), 1);
        Body += Now[I].Key + Now[I].Value;
      }
      return response(200, Body, "application/octet-stream");
    }
    if (Target.rfind("/log-newest", 0) == 0) {
      std::map<std::string, std::pair<size_t, std::string>> Newest;
      for (size_t I = 0; I < Log.size(); ++I)
        if (Log[I].Value.empty())
          Newest.erase(Log[I].Key);
        else
          Newest[Log[I].Key] = {I, Log[I].Value};
      std::string Items;
      for (const auto &[Key, Last] : Newest)
        Items += text(Items.empty() ? "" : ",", "{\"key\":\"", Key,
                      "\",\"value\":\"", base64(Last.second),
                      "\",\"offset\":", Last.first, "}");
      return response(200, text("{\"items\":[", Items,
                                "],\"has-more\":false,\"end\":", Log.size(), "}"));
    }
    return response(404);
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, std::vector<Entry>> Topics_;
  std::map<std::string, unsigned long long> Epochs_;
  std::vector<EpochEntry> EpochLog_;
  std::atomic<int> Era_{0};
  std::atomic<int> Generation_{0};
  std::atomic<bool> Down_{false};
  Server Server_;
};

// ---- an instance
class Instance {
public:
  struct Run {
    std::string Id, Target;
    double Begin, End;
  };
  // What it answers to a request that it runs. Returns false to close.
  using Work = std::function<bool(const Message &, int Socket)>;

  Instance(std::string Id, std::string Service, std::string Zone, int Slots)
      : Id_(std::move(Id)), Service_(std::move(Service)), Zone_(std::move(Zone)),
        Slots_(Slots), Born_(unixMillis()),
        Server_(freeAddress(), [this](const Message &R, int S) {
          return handle(R, S);
        }) {}
  const std::string &address() const { return Server_.address(); }
  std::string id() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Id_;
  }
  // When the next liveness report is due.
  double nextBeat() const { return NextBeatAt_; }

  // Sends liveness reports to a daemon's control address.
  void beat(const std::string &Control, double Interval = 0.87) {
    Interval_ = Interval;
    std::thread([this, Control, Interval] {
      for (;;) {
        if (Beats_ && now() >= NextBeatAt_) {
          NextBeatAt_ = now() + Interval;
          Message Answer;
          call(Control, report(), Answer, 1);
        }
        sleepFor(0.01);
      }
    }).detach();
  }

  // Ends for good.
  void end() {
    Beats_ = false;
    Server_.stop();
  }

  // Ends and starts again, under the same id unless another is given; its first
  // liveness report comes one interval after the start.
  void restart(double Down, const std::function<void()> &Forget,
               const std::string &NewId = "") {
    Beats_ = false;
    Server_.stop();
    Forget();
    sleepFor(Down);
    if (!NewId.empty()) {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Id_ = NewId;
    }
    Born_ = unixMillis();
    Sequence_ = 0;
    NextBeatAt_ = now() + Interval_;
    Server_.start();
    Beats_ = true;
  }
  Message report() {
    Message M;
    M.First = "PUT /instances/" + id() + " HTTP/1.1";
    M.Headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
    M.Body = text("{\"service\":\"", Service_, "\",\"address\":\"", address(),
                  "\",\"zone\":\"", Zone_, "\",\"version\":\"v1\",\"slots\":",
                  Slots_, ",\"state\":\"", Draining_ ? "draining" : "ready",
                  "\",\"cold-left-s\":0,\"sequence\":", ++Sequence_,
                  ",\"born\":", Born_.load(), "}");
    return M;
  }

  Message answerTo(const Message &R, int Status, const std::string &Body) {
    Message M = response(Status, Body, "text/plain");
    M.Headers.push_back({"X-Request-Id", R.header("X-Request-Id")});
    M.Headers.push_back({"X-Response-Signature", "sig-" + R.header("X-Request-Id")});
    M.Headers.push_back({"X-Instance-Id", Id_});
    return M;
  }

  void begin(const Message &R) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Runs_.push_back({R.header("X-Request-Id"), R.target(), now(), -1});
    record(text("  instance ", Id_, " runs ", R.header("X-Request-Id"), " ",
                R.method(), " ", R.target()));
  }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Runs_;
  }
  size_t runsOf(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return static_cast<size_t>(std::count_if(
        Runs_.begin(), Runs_.end(), [&](const Run &R) { return R.Id == Id; }));
  }

  Work OnRequest;
  Work OnControl; // grant and release
  std::function<void(Message &)> HealthHeaders;
  std::atomic<bool> Beats_{true};
  std::atomic<bool> Draining_{false};

private:
  bool handle(const Message &R, int Socket) {
    const std::string Target = R.target();
    if (Target == "/health") {
      Message M = response(Draining_ ? 503 : 200);
      M.Headers.push_back({"X-Instance-Id", Id_});
      if (HealthHeaders)
        HealthHeaders(M);
      return sendAll(Socket, encode(M));
    }
    if ((Target == "/grant" || Target == "/release") && OnControl)
      return OnControl(R, Socket);
    const std::string Expected = R.header("X-Target-Instance");
    if (!Expected.empty() && Expected != Id_) {
      Message M = response(421);
      M.Headers.push_back({"X-Request-Id", R.header("X-Request-Id")});
      M.Headers.push_back({"X-Not-Executed", "1"});
      return sendAll(Socket, encode(M));
    }
    begin(R);
    if (OnRequest)
      return OnRequest(R, Socket);
    return sendAll(Socket, encode(answerTo(R, 200, "ok")));
  }

  std::string Id_, Service_, Zone_;
  int Slots_;
  std::atomic<long long> Born_;
  std::atomic<double> NextBeatAt_{0};
  double Interval_ = 0.87;
  std::atomic<int> Sequence_{0};
  std::mutex Mutex_;
  std::vector<Run> Runs_;
  Server Server_;
};

// ---- daemons
inline std::string &folder() {
  static std::string Path;
  return Path;
}
inline std::vector<pid_t> &children() {
  static std::vector<pid_t> All;
  return All;
}

class Daemon {
public:
  struct Settings {
    std::string Name = "m1", Zone = "kv-a", Service, App, Store;
    int MemoryMb = 260, MaxFds = 4100;
    bool FirstStart = true;
  };
  explicit Daemon(Settings S)
      : S_(std::move(S)), Outbound(freeAddress()), Ready(freeAddress()),
        Control(freeAddress()), Peers(freeAddress()), Admin(freeAddress()) {
    write();
    start();
  }
  void write() {
    // deploy/host.json.template with the fields of a small installation.
    std::ofstream(file()) << text(
        "{\"host\":\"", S_.Name, "\",\"zone\":\"", S_.Zone, "\",\"service\":\"",
        S_.Service, "\",\"upstream\":\"", S_.App, "\",\"callers\":\"", Outbound,
        "\",\"ready\":\"", Ready, "\",\"announce\":\"", Control,
        "\",\"peers\":\"", Peers, "\",\"admin\":\"", Admin, "\",\"store\":\"",
        S_.Store, "\",\"memory_mb\":", S_.MemoryMb, ",\"max_fds\":", S_.MaxFds,
        ",", S_.FirstStart ? "\"first_start\":true," : "",
        "\"bounds\":{\"drain_s\":2,\"evacuate_s\":5,\"stop_s\":6,"
        "\"max_hold_s\":10,\"retry_ratio\":0.2,\"retry_slack\":62,"
        "\"retry_window_s\":10}}");
  }
  void start() {
    const std::string Program = "target/daemon/lagoonhitchd";
    const std::string Argument = "--platform=" + file();
    const std::string Log = folder() + "/" + S_.Name + ".log";
    Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(Out, 1);
      dup2(Out, 2);
      execl(Program.c_str(), Program.c_str(), Argument.c_str(), nullptr);
      _exit(127);
    }
    children().push_back(Pid);
  }
  bool alive() const {
    int Status;
    return waitpid(Pid, &Status, WNOHANG) == 0;
  }
  void send(int Signal) const { kill(Pid, Signal); }
  void kill9() {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    auto &All = children();
    All.erase(std::remove(All.begin(), All.end(), Pid), All.end());
  }
  bool ready() const {
    Message M, Answer;
    M.First = "GET /ready HTTP/1.1";
    M.Headers = {{"Host", "ready"}};
    return call(Ready, M, Answer, 1) == Read::Whole && Answer.status() == 200;
  }
  // Memory in use and its peak, in MB.
  double memory(const char *Field = "VmRSS") const {
    std::ifstream In(text("/proc/", Pid, "/status"));
    std::string Line;
    while (std::getline(In, Line))
      if (Line.rfind(std::string(Field) + ":", 0) == 0)
        return atof(Line.c_str() + strlen(Field) + 1) / 1024;
    return 0;
  }
  std::string file() const { return folder() + "/" + S_.Name + ".json"; }

  Settings S_;
  std::string Outbound, Ready, Control, Peers, Admin;
  pid_t Pid = -1;
};

struct Route {
  std::string Host, Prefix, Service, Kind;
  double Timeout = 2.5, Objective = 0.8;
  int Priority = 1, Attempts = 2;
};
struct ServiceSpec {
  std::string Name;
  bool Sharded = false;
};
inline std::string manifest(int Version, const std::vector<ServiceSpec> &Services,
                            const std::vector<Route> &Routes) {
  std::string S, H;
  for (const ServiceSpec &Spec : Services)
    S += text(S.empty() ? "" : ",", "{\"name\":\"", Spec.Name,
              "\",\"health-path\":\"/health\",\"max-connections\":130,"
              "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,"
              "\"cold-per-s\":17.0",
              Spec.Sharded ? ",\"sharded\":true,\"warm-s\":5.0,\"grants\":\"direct\""
                           : "",
              "}");
  for (const Route &R : Routes)
    H += text(H.empty() ? "" : ",", "{\"hostname\":\"", R.Host,
              "\",\"paths\":[{\"name\":\"r", R.Prefix.substr(1, R.Prefix.size() - 2),
              "\",\"path-prefix\":\"", R.Prefix, "\",\"kind\":\"", R.Kind,
              "\",\"timeout-s\":", R.Timeout, ",\"target-latency-s\":",
              R.Objective, ",\"priority\":", R.Priority, ",\"service\":\"",
              R.Service, "\",\"attempts\":", R.Attempts, "}]}");
  char V[16];
  snprintf(V, sizeof V, "%08x", Version);
  return text("{\"version\":\"", V, "\",\"services\":[", S,
              "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
              "67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15},"
              "\"virtual-hosts\":[", H, "]}");
}

inline Message request(const std::string &Method, const std::string &Host,
                       const std::string &Path, const std::string &Id,
                       int DeadlineMs, const std::string &Body = "") {
  Message M;
  M.First = Method + " " + Path + " HTTP/1.1";
  M.Headers = {{"Host", Host},
               {"X-Request-Id", Id},
               {"X-Deadline-Ms", std::to_string(DeadlineMs)}};
  M.Body = Body;
  return M;
}

inline void endAll() {
  for (const pid_t Pid : children()) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  children().clear();
}

// Ends the case. Exit codes: 1 broken, 0 held, 2 could not run.
[[noreturn]] inline void finish(int Code, const std::string &Why) {
  note(Code == 1 ? "BROKEN: " : Code == 0 ? "HELD: " : "COULD NOT RUN: ", Why);
  printf("%s%s\n", Code == 1 ? "broken: " : Code == 0 ? "held: " : "could not run: ",
         Why.c_str());
  fflush(stdout);
  endAll();
  if (getenv("KEEP_FILES") == nullptr) {
    const std::string Path = folder();
    for (const char *Suffix : {".json", ".log"})
      for (int I = 0; I < 16; ++I)
        unlink(text(Path, "/m", I, Suffix).c_str());
    rmdir(Path.c_str());
  }
  _exit(Code);
}

// Record: where record.txt goes. Returns whether the disruption is on.
inline bool begin(const std::string &Record) {
  signal(SIGPIPE, SIG_IGN);
  started();
  recordFile().open(Record, std::ios::trunc);
  char Template[] = "/tmp/review-XXXXXX";
  folder() = mkdtemp(Template);
  const char *Trouble = getenv("TROUBLE");
  const bool On = Trouble == nullptr || strcmp(Trouble, "0") != 0;
  note(On ? "with" : "without", " the disruption");
  std::thread([] {
    sleepFor(getenv("LONG") ? 1000 : 110);
    finish(2, "took too long");
  }).detach();
  return On;
}

inline bool waitFor(double Seconds, const std::function<bool()> &Condition) {
  const double End = now() + Seconds;
  while (now() < End) {
    if (Condition())
      return true;
    sleepFor(0.05);
  }
  return false;
}

} // namespace rig
