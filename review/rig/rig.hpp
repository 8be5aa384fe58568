#ifndef LAGOONHITCH_REVIEW_RIG_RIG_HPP
#define LAGOONHITCH_REVIEW_RIG_RIG_HPP

/// \file
/// A small site on loopback for the cases of the review: stand-ins of the
/// store and of instances, a client, and the daemons as separate processes.
/// The stand-ins run as threads of the case's program. They implement only
/// what the users' pages say.

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr int HeldExit = 0;
constexpr int BrokenExit = 1;
constexpr int CannotRunExit = 2;

inline double now() {
  static const SteadyClock::time_point Start = SteadyClock::now();
  return std::chrono::duration<double>(SteadyClock::now() - Start).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

inline void sleepUntil(double Moment) { sleepFor(std::max(0.0, Moment - now())); }

/// Writes record.txt: each line has the time in seconds since the start.
class Record {
public:
  explicit Record(const std::string &Path) : File_(std::fopen(Path.c_str(), "w")) {}
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (File_ == nullptr)
      return;
    std::fprintf(File_, "%9.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File_, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File_);
    std::fflush(File_);
  }

private:
  std::mutex Mutex_;
  std::FILE *File_;
};

struct Message {
  /// Method, target and version, or version, status and reason.
  std::string Start_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;

  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers_)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  bool has(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers_)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return true;
    return false;
  }
  std::string method() const { return Start_.substr(0, Start_.find(' ')); }
  std::string target() const {
    const std::size_t First = Start_.find(' ');
    const std::size_t Second = Start_.find(' ', First + 1);
    return Start_.substr(First + 1, Second - First - 1);
  }
  int status() const {
    const std::size_t First = Start_.find(' ');
    return First == std::string::npos ? 0 : std::atoi(Start_.c_str() + First);
  }
};

struct Reply {
  int Status_ = 200;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
  /// Close the connection without an answer.
  bool Drop_ = false;
  /// Close the connection after the answer.
  bool Close_ = false;
};

inline bool sendAll(int Socket, const char *Data, std::size_t Size) {
  while (Size > 0) {
    const ssize_t Sent = ::send(Socket, Data, Size, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Data += Sent;
    Size -= static_cast<std::size_t>(Sent);
  }
  return true;
}

/// Reads more bytes into a buffer, until a moment.
inline bool receiveSome(int Socket, std::string &Buffer, double Until) {
  pollfd Poll{Socket, POLLIN, 0};
  const double Left = Until - now();
  if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left * 1000) + 1) <= 0)
    return false;
  char Data[65536];
  const ssize_t Size = ::recv(Socket, Data, sizeof(Data), 0);
  if (Size <= 0)
    return false;
  Buffer.append(Data, static_cast<std::size_t>(Size));
  return true;
}

/// Reads one message with a length. Answers without one aren't sent by daemons.
inline bool readMessage(int Socket, std::string &Buffer, Message &Result,
                        double Until) {
  std::size_t End;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveSome(Socket, Buffer, Until))
      return false;
  Result = Message();
  std::size_t Position = Buffer.find("\r\n");
  Result.Start_ = Buffer.substr(0, Position);
  while (Position < End) {
    Position += 2;
    const std::size_t Next = Buffer.find("\r\n", Position);
    const std::string Line = Buffer.substr(Position, Next - Position);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      std::size_t Value = Colon + 1;
      while (Value < Line.size() && Line[Value] == ' ')
        ++Value;
      Result.Headers_.push_back({Line.substr(0, Colon), Line.substr(Value)});
    }
    Position = Next;
  }
  Buffer.erase(0, End + 4);
  const std::size_t Length =
      std::strtoull(Result.header("Content-Length").c_str(), nullptr, 10);
  while (Buffer.size() < Length)
    if (!receiveSome(Socket, Buffer, Until))
      return false;
  Result.Body_ = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

inline std::string encodeReply(const Reply &Source) {
  std::string Text = "HTTP/1.1 " + std::to_string(Source.Status_) + " X\r\n";
  for (const auto &[Name, Value] : Source.Headers_)
    Text += Name + ": " + Value + "\r\n";
  if (Source.Close_)
    Text += "Connection: close\r\n";
  return Text + "Content-Length: " + std::to_string(Source.Body_.size()) +
         "\r\n\r\n" + Source.Body_;
}

inline sockaddr_in toAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(Text.c_str() + Colon + 1)));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  return Address;
}

/// Returns a free port of 127.0.0.1 for TCP and UDP, below the ephemeral ports.
inline std::string freeAddress() {
  static std::atomic<int> Next{20000 + (getpid() * 37) % 9000};
  for (int Try = 0; Try < 5000; ++Try) {
    const std::string Text = "127.0.0.1:" + std::to_string(Next++);
    sockaddr_in Address = toAddress(Text);
    const int Tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    const int Udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    const bool Free =
        ::bind(Tcp, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0 &&
        ::bind(Udp, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
    ::close(Tcp);
    ::close(Udp);
    if (Free)
      return Text;
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(CannotRunExit);
}

/// An HTTP server with a thread for each connection.
class Server {
public:
  using Handler = std::function<Reply(const Message &)>;
  Server(std::string Address, Handler Handle)
      : Address_(std::move(Address)), Handle_(std::move(Handle)) {
    open();
  }
  ~Server() { close(); }

  const std::string &address() const { return Address_; }

  void open() {
    Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address = toAddress(Address_);
    // A socket of an ended instance may still be closing.
    constexpr int Tries = 100;
    int Try = 0;
    while (::bind(Listener_, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0 &&
           ++Try < Tries)
      sleepFor(0.02);
    if (Try == Tries || ::listen(Listener_, 512) != 0) {
      std::perror("listen");
      std::_Exit(CannotRunExit);
    }
    Open_ = true;
    std::thread([this, Socket = Listener_] { accept(Socket); }).detach();
  }

  /// Ends as a killed process does: refuses new connections, and resets the
  /// open ones.
  void close() {
    Open_ = false;
    std::lock_guard<std::mutex> Lock(Mutex_);
    ::shutdown(Listener_, SHUT_RDWR);
    ::close(Listener_);
    for (const int Socket : Sockets_) {
      const linger Abort{1, 0};
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
      ::shutdown(Socket, SHUT_RD);
    }
  }

private:
  void accept(int Listener) {
    for (;;) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        if (!Open_) {
          ::close(Socket);
          return;
        }
        Sockets_.insert(Socket);
      }
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  void serve(int Socket) {
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, 1 /* TCP_NODELAY */, &On, sizeof(On));
    std::string Buffer;
    Message Request;
    constexpr double IdleSeconds = 30;
    while (Open_ && readMessage(Socket, Buffer, Request, now() + IdleSeconds)) {
      const Reply Answer = Handle_(Request);
      if (Answer.Drop_ || !Open_)
        break;
      const std::string Text = encodeReply(Answer);
      if (!sendAll(Socket, Text.data(), Text.size()) || Answer.Close_)
        break;
    }
    std::lock_guard<std::mutex> Lock(Mutex_);
    Sockets_.erase(Socket);
    ::close(Socket);
  }

  std::string Address_;
  Handler Handle_;
  int Listener_ = -1;
  std::atomic<bool> Open_{false};
  std::mutex Mutex_;
  std::set<int> Sockets_;
};

/// Sends a request over a new connection. Returns status 0 without an answer.
inline Message call(const std::string &Address, const std::string &Method,
                    const std::string &Target,
                    const std::vector<std::pair<std::string, std::string>> &Headers,
                    const std::string &Body, double Timeout) {
  const double Until = now() + Timeout;
  Message Answer;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Peer = toAddress(Address);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) == 0) {
    std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Headers)
      Text += Name + ": " + Value + "\r\n";
    if (!Body.empty() || Method != "GET")
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    Text += "\r\n";
    std::string Buffer;
    if (!sendAll(Socket, Text.data(), Text.size()) ||
        !sendAll(Socket, Body.data(), Body.size()) ||
        !readMessage(Socket, Buffer, Answer, Until))
      Answer = Message();
  }
  ::close(Socket);
  return Answer;
}

inline std::string queryOf(const std::string &Target, const std::string &Name) {
  const std::size_t Start = Target.find('?');
  std::size_t Position = Start == std::string::npos ? Target.size() : Start + 1;
  while (Position < Target.size()) {
    std::size_t End = Target.find('&', Position);
    End = End == std::string::npos ? Target.size() : End;
    const std::string Part = Target.substr(Position, End - Position);
    const std::size_t Equal = Part.find('=');
    if (Part.substr(0, Equal) == Name)
      return Equal == std::string::npos ? std::string() : Part.substr(Equal + 1);
    Position = End + 1;
  }
  return {};
}

inline std::string toBase64(const std::string &Data) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t Index = 0; Index < Data.size(); Index += 3) {
    unsigned Bits = 0;
    for (std::size_t Offset = 0; Offset < 3; ++Offset)
      Bits = (Bits << 8) | (Index + Offset < Data.size()
                                ? static_cast<unsigned char>(Data[Index + Offset])
                                : 0U);
    for (int Shift = 18; Shift >= 0; Shift -= 6)
      Text += Digits[(Bits >> Shift) & 63U];
    if (Index + 1 >= Data.size())
      Text.replace(Text.size() - 2, 2, "==");
    else if (Index + 2 >= Data.size())
      Text.replace(Text.size() - 1, 1, "=");
  }
  return Text;
}

inline void appendNumber(std::string &Data, std::uint64_t Number, int Bytes) {
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Data += static_cast<char>((Number >> Shift) & 0xFF);
}

/// The platform's store: the calls that the daemons use.
class Store {
public:
  struct Entry {
    std::string Key_;
    std::string Value_;
  };
  struct Topic {
    std::vector<Entry> Entries_;
    std::size_t First_ = 0;
    std::map<std::string, std::uint64_t> Epochs_;
  };
  using Topics = std::map<std::string, Topic>;

  explicit Store(Record &Log)
      : Log_(Log), Server_(freeAddress(), [this](const Message &Request) {
          return handle(Request);
        }) {}

  const std::string &address() const { return Server_.address(); }

  /// Appends as the operator does.
  void operate(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Topic &Operated = Topics_["keyed.op"];
    Operated.Entries_.push_back({Key, Value});
    Log_.line("store: op/%s written at offset %zu", Key.c_str(),
              Operated.Entries_.size() - 1);
    Changed_.notify_all();
  }

  /// Appends as the operator does, and deletes all records of the topic before
  /// a read has got them. The newest of each key stays in log-newest.
  void operateAndDropHistory(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Topic &Operated = Topics_["keyed.op"];
    Operated.Entries_.push_back({Key, Value});
    Operated.First_ = Operated.Entries_.size();
    Log_.line("store: op/%s written at offset %zu, records before %zu deleted", Key.c_str(),
              Operated.Entries_.size() - 1, Operated.First_);
    Changed_.notify_all();
  }

  Topics copy() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Topics_;
  }

  void close() { Server_.close(); }
  void open() { Server_.open(); }

  /// Replaces the content with a copy, as after a drill. What the operator
  /// wrote since is written again; what the system wrote since is gone.
  void restore(const Topics &Copy) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    const Topic Operated = Topics_["keyed.op"];
    for (const auto &[Name, Lost] : Topics_) {
      const auto Found = Copy.find(Name);
      const std::size_t End = Found == Copy.end() ? 0 : Found->second.Entries_.size();
      Log_.line("store: restored %s, end %zu -> %zu", Name.c_str(),
                Lost.Entries_.size(), Name == "keyed.op" ? Lost.Entries_.size() : End);
    }
    Topics_ = Copy;
    Topics_["keyed.op"] = Operated;
    ++Era_;
  }

  std::string newest(const std::string &Name, const std::string &Key) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::string Value;
    for (const Entry &Each : Topics_[Name].Entries_)
      if (Each.Key_ == Key)
        Value = Each.Value_;
    return Value;
  }

  std::size_t endOf(const std::string &Name) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Topics_[Name].Entries_.size();
  }

  /// Called for each append of a record, with topic, key and value.
  std::function<void(const std::string &, const std::string &, const std::string &)>
      OnAppend_;

private:
  Reply json(int Status, const Json &Body) {
    Reply Answer;
    Answer.Status_ = Status;
    Answer.Headers_.push_back({"Content-Type", "application/json"});
    Answer.Body_ = Body.dump();
    return Answer;
  }

  Reply handle(const Message &Request) {
    const std::string Target = Request.target();
    Reply Answer;
    if (Target.rfind("/log-append", 0) == 0)
      Answer = append(Target, Request.Body_);
    else if (Target.rfind("/log-read", 0) == 0)
      Answer = read(Target);
    else if (Target.rfind("/log-newest", 0) == 0)
      Answer = readNewest(Target);
    else
      Answer.Status_ = 404;
    Answer.Headers_.push_back({"Store-Era", std::to_string(Era_.load())});
    return Answer;
  }

  Reply append(const std::string &Target, const std::string &Body) {
    constexpr double AnswerSeconds = 0.004;
    sleepFor(AnswerSeconds);
    std::lock_guard<std::mutex> Lock(Mutex_);
    const std::string Name = queryOf(Target, "topic");
    Topic &Written = Topics_[Name];
    const std::string Producer = queryOf(Target, "producer");
    if (!Producer.empty()) {
      const std::uint64_t Epoch =
          std::strtoull(queryOf(Target, "epoch").c_str(), nullptr, 10);
      std::uint64_t &Highest = Written.Epochs_[Producer];
      if (Epoch < Highest)
        return json(409, {{"why", "fenced"}});
      Highest = Epoch;
    }
    const std::string At = queryOf(Target, "at");
    const std::size_t End = Written.Entries_.size();
    if (!At.empty() && std::strtoull(At.c_str(), nullptr, 10) != End)
      return json(412, {{"end", End}});
    std::size_t Position = 0;
    while (Position + 5 <= Body.size()) {
      std::size_t Size = 0;
      for (int Index = 0; Index < 4; ++Index)
        Size = (Size << 8) | static_cast<unsigned char>(Body[Position++]);
      const std::size_t KeySize = static_cast<unsigned char>(Body[Position]);
      Written.Entries_.push_back({Body.substr(Position + 1, KeySize),
                                  Body.substr(Position + 1 + KeySize, Size - 1 - KeySize)});
      if (OnAppend_)
        OnAppend_(Name, Written.Entries_.back().Key_, Written.Entries_.back().Value_);
      Position += Size;
    }
    Changed_.notify_all();
    return json(200, {{"offset", End}, {"end", Written.Entries_.size()}});
  }

  Reply read(const std::string &Target) {
    const std::string Name = queryOf(Target, "topic");
    const std::size_t From = std::strtoull(queryOf(Target, "from").c_str(), nullptr, 10);
    const auto Wait = std::chrono::milliseconds(
        std::strtoull(queryOf(Target, "wait-ms").c_str(), nullptr, 10));
    std::unique_lock<std::mutex> Lock(Mutex_);
    const auto Ready = [&] {
      const Topic &Asked = Topics_[Name];
      return From < Asked.Entries_.size() || From > Asked.Entries_.size();
    };
    Changed_.wait_for(Lock, Wait, Ready);
    const Topic &Asked = Topics_[Name];
    if (From < Asked.First_ || From > Asked.Entries_.size())
      return json(410, {{"first", Asked.First_}});
    Reply Answer;
    appendNumber(Answer.Body_, Asked.Entries_.size(), 8);
    appendNumber(Answer.Body_, Asked.First_, 8);
    for (std::size_t Index = From; Index < Asked.Entries_.size(); ++Index) {
      const Entry &Each = Asked.Entries_[Index];
      appendNumber(Answer.Body_, 1 + Each.Key_.size() + Each.Value_.size(), 4);
      appendNumber(Answer.Body_, Each.Key_.size(), 1);
      Answer.Body_ += Each.Key_ + Each.Value_;
    }
    return Answer;
  }

  Reply readNewest(const std::string &Target) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    const Topic &Asked = Topics_[queryOf(Target, "topic")];
    std::map<std::string, std::size_t> Newest;
    for (std::size_t Index = 0; Index < Asked.Entries_.size(); ++Index)
      Newest[Asked.Entries_[Index].Key_] = Index;
    Json Items = Json::array();
    for (const auto &[Key, Index] : Newest)
      if (!Asked.Entries_[Index].Value_.empty())
        Items.push_back({{"key", Key},
                         {"value", toBase64(Asked.Entries_[Index].Value_)},
                         {"offset", Index}});
    return json(200, {{"items", Items}, {"has-more", false}, {"end", Asked.Entries_.size()}});
  }

  Record &Log_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  Topics Topics_;
  std::atomic<int> Era_{1};
  Server Server_;
};

/// One run of a request at an instance.
struct Run {
  double At_;
  std::string Request_;
  std::string Instance_;
  int Key_;
  std::string Target_;
};

/// An instance: one life of an application server. Sound in all it does.
class Instance {
public:
  struct Options {
    std::string Id_;
    std::string Service_;
    std::string Address_;
    std::string Zone_;
    bool Sharded_ = false;
    double WorkSeconds_ = 0.02;
    /// It crashes when it begins to run a request for this path; empty for none.
    std::string FatalPath_;
    std::function<void(const Run &)> OnRun_;
  };

  Instance(Record &Log, Options Settings)
      : Log_(Log), Settings_(std::move(Settings)),
        Born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        Keys_(Settings_.Sharded_ ? 65536 : 0),
        Server_(Settings_.Address_,
                [this](const Message &Request) { return handle(Request); }) {
    Log_.line("instance %s starts at %s", Settings_.Id_.c_str(), Settings_.Address_.c_str());
  }

  const std::string &id() const { return Settings_.Id_; }

  /// Reports liveness at a daemon from now on.
  void startHeartbeats(const std::string &Control) {
    std::thread([this, Control] {
      constexpr double HeartbeatSeconds = 0.87;
      while (Up_) {
        heartbeat(Control);
        sleepFor(HeartbeatSeconds);
      }
    }).detach();
  }

  /// Leaves as planned: says so, serves on for a while, deregisters and ends.
  void leave(const std::string &Control, double ServeFor) {
    State_ = "draining";
    heartbeat(Control);
    Log_.line("instance %s says that it leaves", id().c_str());
    sleepFor(ServeFor);
    call(Control, "DELETE", "/instances/" + id(), {{"Host", Control}}, "", 1);
    crash();
  }

  void heartbeat(const std::string &Control) {
    const Json Body = {{"service", Settings_.Service_}, {"address", Settings_.Address_},
                       {"zone", Settings_.Zone_},       {"version", "v1"},
                       {"slots", Slots},                {"state", State_.load()},
                       {"cold-left-s", 0},              {"sequence", ++Sequence_},
                       {"born", Born_}};
    call(Control, "PUT", "/instances/" + Settings_.Id_,
         {{"Host", Control}, {"Content-Type", "application/json"}}, Body.dump(), 1);
  }

  /// Ends as a killed process.
  void crash() {
    Up_ = false;
    Server_.close();
    Log_.line("instance %s ends", Settings_.Id_.c_str());
  }
  bool up() const { return Up_; }

  /// Returns the generation with which a key is held, 0 if it isn't held.
  std::uint64_t held(int Key) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    const KeyState &State = Keys_[static_cast<std::size_t>(Key)];
    return Up_ && now() < State.Until_ ? State.Fence_ : 0;
  }

  /// Copies what is held at this moment, as generations by key.
  std::vector<std::uint64_t> heldKeys() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::vector<std::uint64_t> Held(Keys_.size(), 0);
    const double Moment = now();
    if (Up_)
      for (std::size_t Key = 0; Key < Keys_.size(); ++Key)
        if (Moment < Keys_[Key].Until_)
          Held[Key] = Keys_[Key].Fence_;
    return Held;
  }

  /// Spoils a byte of the next answers to releases.
  void spoilReleases(int Count) { ReleasesToSpoil_ = Count; }

  static constexpr int Slots = 18;

private:
  struct KeyState {
    std::uint64_t Fence_ = 0;
    double Until_ = 0;
    int Running_ = 0;
  };

  Reply handle(const Message &Request) {
    const std::string Target = Request.target();
    Reply Answer;
    if (Target == "/health") {
      Answer.Headers_ = {{"X-Instance-Id", Settings_.Id_}, loadHeader()};
      return Answer;
    }
    if (Target == "/grant")
      return grant(Json::parse(Request.Body_));
    if (Target == "/release")
      return release(Json::parse(Request.Body_));
    return run(Request);
  }

  std::pair<std::string, std::string> loadHeader() {
    return {"X-Server-Load", std::to_string(Running_.load()) + ",0," + std::to_string(Slots)};
  }

  Reply grant(const Json &Body) {
    const double Arrival = now();
    const auto From = Body.at("from").get<std::size_t>();
    const auto To = Body.at("to").get<std::size_t>();
    const auto Fence = Body.at("fence").get<std::uint64_t>();
    const double Hold = Body.at("hold-s").get<double>();
    Reply Answer;
    std::lock_guard<std::mutex> Lock(Mutex_);
    bool Known = true;
    for (std::size_t Key = From; Key <= To; ++Key) {
      if (Keys_[Key].Fence_ > Fence)
        Answer.Status_ = 409;
      Known = Known && Keys_[Key].Fence_ == Fence && Arrival < Keys_[Key].Until_;
    }
    if (Hold > 10)
      Answer.Status_ = 400;
    if (!Known || Answer.Status_ != 200)
      Log_.line("instance %s: grant %zu-%zu fence %llu hold %.2f -> %d", id().c_str(), From, To,
                static_cast<unsigned long long>(Fence), Hold, Answer.Status_);
    if (Answer.Status_ == 200)
      for (std::size_t Key = From; Key <= To; ++Key) {
        Keys_[Key].Fence_ = Fence;
        Keys_[Key].Until_ = Arrival + Hold;
      }
    return Answer;
  }

  Reply release(const Json &Body) {
    const auto From = Body.at("from").get<std::size_t>();
    const auto To = Body.at("to").get<std::size_t>();
    std::unique_lock<std::mutex> Lock(Mutex_);
    for (std::size_t Key = From; Key <= To; ++Key)
      Keys_[Key].Until_ = 0;
    WorkEnded_.wait_for(Lock, std::chrono::seconds(10), [&] {
      for (std::size_t Key = From; Key <= To; ++Key)
        if (Keys_[Key].Running_ > 0)
          return false;
      return true;
    });
    Log_.line("instance %s: released %zu-%zu", id().c_str(), From, To);
    std::string Handover = "h" + std::to_string(++Handovers_) + id();
    if (ReleasesToSpoil_ > 0) {
      --ReleasesToSpoil_;
      Log_.line("instance %s: the answer has a wrong byte in X-Handover", id().c_str());
      Handover[1] = '\xc3';
    }
    Reply Answer;
    Answer.Headers_.push_back({"X-Handover", Handover});
    return Answer;
  }

  Reply notRun(int Status) {
    Reply Answer;
    Answer.Status_ = Status;
    Answer.Headers_ = {{"X-Not-Executed", "1"}, {"X-Instance-Id", id()}};
    return Answer;
  }

  Reply run(const Message &Request) {
    const std::string RequestId = Request.header("X-Request-Id");
    const std::string For = Request.header("X-Target-Instance");
    const bool ForOther = !For.empty() && For != id();
    int Key = -1;
    if (Settings_.Sharded_)
      Key = std::atoi(Request.header("X-Shard-Key").c_str());
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      const bool NotHeld =
          Key >= 0 && now() >= Keys_[static_cast<std::size_t>(Key)].Until_;
      if (ForOther || NotHeld) {
        Reply Answer = notRun(421);
        Answer.Headers_.push_back({"X-Request-Id", RequestId});
        return Answer;
      }
      if (Key >= 0)
        ++Keys_[static_cast<std::size_t>(Key)].Running_;
      ++Running_;
    }
    Log_.line("instance %s runs %s %s key %d, %zu bytes", id().c_str(), RequestId.c_str(),
              Request.target().c_str(), Key, Request.Body_.size());
    if (Settings_.OnRun_)
      Settings_.OnRun_({now(), RequestId, id(), Key, Request.target()});
    if (!Settings_.FatalPath_.empty() && Request.target() == Settings_.FatalPath_) {
      crash();
      Reply None;
      None.Drop_ = true;
      return None;
    }
    sleepFor(Settings_.WorkSeconds_);
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Key >= 0)
        --Keys_[static_cast<std::size_t>(Key)].Running_;
      --Running_;
      WorkEnded_.notify_all();
    }
    Reply Answer;
    Answer.Headers_ = {{"X-Request-Id", RequestId},
                       {"X-Response-Signature", "s." + RequestId},
                       loadHeader()};
    Answer.Body_ = "done by " + id() + "\n";
    return Answer;
  }

  Record &Log_;
  Options Settings_;
  std::int64_t Born_;
  std::atomic<std::uint64_t> Sequence_{0};
  std::atomic<bool> Up_{true};
  std::atomic<const char *> State_{"ready"};
  std::atomic<int> Running_{0};
  std::atomic<int> Handovers_{0};
  std::atomic<int> ReleasesToSpoil_{0};
  std::mutex Mutex_;
  std::condition_variable WorkEnded_;
  std::vector<KeyState> Keys_;
  Server Server_;
};

/// A machine: a daemon process, and the addresses of what belongs to it.
struct Host {
  std::string Name_;
  std::string Zone_;
  std::string Service_;
  std::string Upstream_;
  std::string Callers_;
  std::string Ready_;
  std::string Control_;
  std::string Peers_;
  std::string Admin_;
  pid_t Daemon_ = -1;
  std::shared_ptr<Instance> Instance_;
  int Lives_ = 0;
};

/// Wall time that a case may take in all.
constexpr unsigned MaxRunSeconds = 115;

class Site {
public:
  /// \param Sharded the number of hosts of the sharded service `cat`.
  /// \param Shared the number of hosts of the shared service `ord`.
  /// \param WorkSeconds the time that a request takes at an instance.
  Site(Record &Log, int Sharded, int Shared, double WorkSeconds = 0.02)
      : Log_(Log), Store_(Log), Folder_(makeFolder()), WorkSeconds_(WorkSeconds) {
    alarm(MaxRunSeconds);
    static const char *Zones[] = {"kv-a", "kv-b", "kv-c"};
    for (int Index = 0; Index < Sharded + Shared; ++Index) {
      Host Added;
      Added.Name_ = "host-" + std::to_string(Index);
      Added.Zone_ = Zones[Index % 3];
      Added.Service_ = Index < Sharded ? "cat" : "ord";
      for (std::string *Address : {&Added.Upstream_, &Added.Callers_, &Added.Ready_,
                                   &Added.Control_, &Added.Peers_, &Added.Admin_})
        *Address = freeAddress();
      Hosts_.push_back(Added);
    }
  }

  /// Ends all daemons and the program. The threads of the stand-ins still run,
  /// so nothing is destroyed.
  [[noreturn]] void finish(int Code) {
    for (Host &Each : Hosts_)
      kill(Each, SIGKILL);
    std::error_code Ignored;
    if (std::getenv("KEEP_FILES") == nullptr)
      std::filesystem::remove_all(Folder_, Ignored);
    std::_Exit(Code);
  }

  Store &store() { return Store_; }
  std::vector<Host> &hosts() { return Hosts_; }
  Record &record() { return Log_; }

  void start() {
    Store_.operate("config", manifest(1).dump());
    for (Host &Each : Hosts_)
      startInstance(Each);
    for (Host &Each : Hosts_)
      startDaemon(Each);
    for (Host &Each : Hosts_)
      Each.Instance_->startHeartbeats(Each.Control_);
  }

  Json manifest(int Version) const {
    char Text[16];
    std::snprintf(Text, sizeof(Text), "%08x", Version);
    const auto Service = [](const char *Name, bool Sharded) {
      Json Fields = {{"name", Name},     {"health-path", "/health"},
                     {"max-connections", 130}, {"protocol", "h1"},
                     {"tls", false},     {"cold-start-s", 3.0},
                     {"cold-per-s", 17.0}};
      if (Sharded) {
        Fields["sharded"] = true;
        Fields["warm-s"] = 5.0;
        Fields["grants"] = "direct";
      }
      return Fields;
    };
    const auto Route = [](const char *Name, const char *Prefix, const char *Kind,
                          const char *To) {
      return Json{{"name", Name},      {"path-prefix", Prefix},   {"kind", Kind},
                  {"timeout-s", 4},    {"target-latency-s", 0.6}, {"priority", 1},
                  {"service", To},     {"attempts", 2}};
    };
    return {{"version", Text},
            {"services", {Service("cat", true), Service("ord", false)}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 67108864},
              {"header-timeout-s", 3},
              {"idle-timeout-s", 15}}},
            {"virtual-hosts",
             {{{"hostname", "cat.example"},
               {"paths", {Route("r-cat", "/cat/", "idempotent", "cat")}}},
              {{"hostname", "ord.example"},
               {"paths",
                {Route("r-ord", "/ord/", "non_idempotent", "ord"),
                 Route("r-view", "/view/", "idempotent", "ord")}}}}}};
  }

  void startInstance(Host &On, const std::string &FatalPath = "") {
    Instance::Options Options;
    Options.Id_ = "i-" + On.Name_ + "-" + std::to_string(++On.Lives_);
    Options.FatalPath_ = FatalPath;
    Options.Service_ = On.Service_;
    Options.Address_ = On.Upstream_;
    Options.Zone_ = On.Zone_;
    Options.Sharded_ = On.Service_ == "cat";
    Options.WorkSeconds_ = WorkSeconds_;
    Options.OnRun_ = [this](const Run &Each) {
      std::lock_guard<std::mutex> Lock(RunsMutex_);
      Runs_.push_back(Each);
    };
    // An ended instance keeps its sockets' threads for a moment.
    if (On.Instance_)
      Ended_.push_back(On.Instance_);
    On.Instance_ = std::make_shared<Instance>(Log_, Options);
  }

  /// Starts a daemon with the command of the deploy file.
  void startDaemon(Host &On) {
    const std::string Settings = Folder_ + "/" + On.Name_ + ".json";
    std::ofstream(Settings) << Json{{"host", On.Name_},
                                    {"zone", On.Zone_},
                                    {"service", On.Service_},
                                    {"upstream", On.Upstream_},
                                    {"callers", On.Callers_},
                                    {"ready", On.Ready_},
                                    {"announce", On.Control_},
                                    {"peers", On.Peers_},
                                    {"admin", On.Admin_},
                                    {"store", Store_.address()},
                                    {"bounds",
                                     {{"drain_s", 2},
                                      {"evacuate_s", 5},
                                      {"stop_s", 6},
                                      {"max_hold_s", 10},
                                      {"retry_ratio", 0.2},
                                      {"retry_slack", 62},
                                      {"retry_window_s", 10}}}}
                                   .dump(2);
    const std::string Argument = "--platform=" + Settings;
    const std::string Output = Folder_ + "/" + On.Name_ + ".out";
    const pid_t Child = fork();
    if (Child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::FILE *File = std::freopen(Output.c_str(), "a", stdout);
      File = std::freopen(Output.c_str(), "a", stderr);
      static_cast<void>(File);
      execl("target/daemon/lagoonhitchd", "target/daemon/lagoonhitchd", Argument.c_str(),
            static_cast<char *>(nullptr));
      std::_Exit(127);
    }
    On.Daemon_ = Child;
    Log_.line("%s: daemon started", On.Name_.c_str());
  }

  /// Signals a daemon and waits for its end if the signal ends it.
  void kill(Host &On, int Signal) {
    if (On.Daemon_ <= 0)
      return;
    Log_.line("%s: daemon gets signal %d", On.Name_.c_str(), Signal);
    ::kill(On.Daemon_, Signal);
    if (Signal != SIGKILL)
      return;
    waitpid(On.Daemon_, nullptr, 0);
    On.Daemon_ = -1;
  }

  /// Waits until a daemon has ended, for some time at most.
  bool waitForEnd(Host &On, double Seconds) {
    const double Until = now() + Seconds;
    while (now() < Until) {
      if (waitpid(On.Daemon_, nullptr, WNOHANG) == On.Daemon_) {
        On.Daemon_ = -1;
        Log_.line("%s: daemon has ended", On.Name_.c_str());
        return true;
      }
      sleepFor(0.02);
    }
    return false;
  }

  /// Waits until all daemons are ready and all keys are held.
  bool waitUntilServing(double Seconds) {
    const double Until = now() + Seconds;
    while (now() < Until) {
      sleepFor(0.1);
      bool Ready = true;
      for (const Host &Each : Hosts_)
        Ready = Ready && call(Each.Ready_, "GET", "/ready", {{"Host", "x"}}, "", 1).status() == 200;
      if (Ready && allKeysHeld())
        return true;
    }
    Log_.line("the site does not serve");
    return false;
  }

  bool allKeysHeld() {
    std::vector<bool> Held(65536, false);
    for (Host &Each : Hosts_)
      if (Each.Service_ == "cat") {
        const std::vector<std::uint64_t> Keys = Each.Instance_->heldKeys();
        for (std::size_t Key = 0; Key < Keys.size(); ++Key)
          Held[Key] = Held[Key] || Keys[Key] != 0;
      }
    return std::all_of(Held.begin(), Held.end(), [](bool Each) { return Each; });
  }

  /// Sends a keyed request to a daemon and records it.
  int sendKeyed(const Host &To, int Key, double Timeout = 4) {
    const std::string Id = nextId();
    Log_.line("client sends %s key %d to %s", Id.c_str(), Key, To.Name_.c_str());
    const Message Answer = call(To.Callers_, "GET", "/cat/item",
                                {{"Host", "cat.example"},
                                 {"X-Request-Id", Id},
                                 {"X-Shard-Key", std::to_string(Key)},
                                 {"X-Deadline-Ms", std::to_string(static_cast<int>(Timeout * 1000))}},
                                "", Timeout);
    Log_.line("client gets %d for %s", Answer.status(), Id.c_str());
    return Answer.status();
  }

  std::string nextId() {
    char Text[32];
    std::snprintf(Text, sizeof(Text), "r%08x", ++LastId_);
    return Text;
  }

  std::vector<Run> runs() {
    std::lock_guard<std::mutex> Lock(RunsMutex_);
    return Runs_;
  }

private:
  static std::string makeFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "lagoonhitch-review-XXXXXX").string();
    if (mkdtemp(Template.data()) == nullptr)
      std::exit(CannotRunExit);
    return Template;
  }

  Record &Log_;
  Store Store_;
  std::string Folder_;
  double WorkSeconds_;
  std::vector<Host> Hosts_;
  std::vector<std::shared_ptr<Instance>> Ended_;
  std::mutex RunsMutex_;
  std::vector<Run> Runs_;
  std::atomic<unsigned> LastId_{0};
};

/// Watches which keys are held by two instances that are up.
class HoldWatch {
public:
  explicit HoldWatch(Site &Watched) : Site_(Watched), Since_(65536, -1) {}

  void start() {
    Thread_ = std::thread([this] {
      while (!Ended_) {
        check();
        sleepFor(0.02);
      }
    });
  }
  void stop() {
    Ended_ = true;
    Thread_.join();
  }
  /// Longest time for which some key was held by two instances.
  double longest() const { return Longest_; }
  int longestKey() const { return LongestKey_; }
  /// Largest number of keys that were held by two instances at a moment.
  std::size_t most() const { return Most_; }

private:
  void check() {
    std::vector<std::vector<std::uint64_t>> Held;
    std::vector<std::string> Names;
    for (Host &Each : Site_.hosts())
      if (Each.Service_ == "cat") {
        Held.push_back(Each.Instance_->heldKeys());
        Names.push_back(Each.Instance_->id());
      }
    const double Moment = now();
    std::size_t Count = 0;
    for (std::size_t Key = 0; Key < Since_.size(); ++Key) {
      std::string Holders;
      int Number = 0;
      for (std::size_t Index = 0; Index < Held.size(); ++Index)
        if (Held[Index][Key] != 0) {
          ++Number;
          if (Number <= 2 && Since_[Key] < 0)
            Holders += " " + Names[Index] + " (generation " + std::to_string(Held[Index][Key]) + ")";
        }
      if (Number < 2) {
        Since_[Key] = -1;
        continue;
      }
      ++Count;
      if (Since_[Key] < 0) {
        Since_[Key] = Moment;
        if (Reported_++ < 20)
          Site_.record().line("key %zu is held by%s", Key, Holders.c_str());
      }
      if (Moment - Since_[Key] > Longest_) {
        Longest_ = Moment - Since_[Key];
        LongestKey_ = static_cast<int>(Key);
      }
    }
    Most_ = std::max(Most_, Count);
  }

  Site &Site_;
  std::vector<double> Since_;
  std::thread Thread_;
  std::atomic<bool> Ended_{false};
  double Longest_ = 0;
  int LongestKey_ = -1;
  std::size_t Most_ = 0;
  int Reported_ = 0;
};

inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace rig

#endif // LAGOONHITCH_REVIEW_RIG_RIG_HPP
