#ifndef LAGOONHITCH_REVIEW_RIG_3_SERVERS_HPP
#define LAGOONHITCH_REVIEW_RIG_3_SERVERS_HPP

/// \file
/// Stand-ins that run in threads of a case: an HTTP server, an instance that
/// holds keys, and the platform's store.

#include "rig.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <optional>
#include <set>

namespace rig {

struct Request {
  std::string Method_, Target_, Head_, Body_;
  std::string header(const std::string &Name) const {
    std::size_t At = 0;
    while ((At = Head_.find("\r\n", At)) != std::string::npos) {
      At += 2;
      if (Head_.size() > At + Name.size() && Head_[At + Name.size()] == ':' &&
          ::strncasecmp(Head_.data() + At, Name.data(), Name.size()) == 0) {
        std::size_t Begin = At + Name.size() + 1;
        while (Head_[Begin] == ' ')
          ++Begin;
        return Head_.substr(Begin, Head_.find("\r\n", Begin) - Begin);
      }
    }
    return "";
  }
  std::string query(const std::string &Name) const {
    const std::size_t At = Target_.find('?');
    if (At == std::string::npos)
      return "";
    std::stringstream Parts(Target_.substr(At + 1));
    for (std::string Part; std::getline(Parts, Part, '&');)
      if (Part.rfind(Name + "=", 0) == 0)
        return Part.substr(Name.size() + 1);
    return "";
  }
};

/// A server with a thread per connection.
class HttpServer {
public:
  /// Returns the bytes of the whole answer. An empty answer ends the
  /// connection.
  using Handler = std::function<std::string(const Request &, int Socket)>;

  HttpServer(const std::string &Ip, Handler Handle)
      : Handle_(std::move(Handle)) {
    listen(Ip, 0);
    std::thread([this] { accept(); }).detach();
  }
  const std::string &address() const { return Address_; }
  /// Ends all connections and refuses new ones.
  void end() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Down_ = true;
    ::shutdown(Listening_, SHUT_RDWR);
    ::close(Listening_);
    for (const int Socket : Open_)
      ::shutdown(Socket, SHUT_RDWR);
  }
  /// Ends all connections and refuses new ones for some time, as at the end
  /// and start of a process.
  void restart(double Down) {
    end();
    sleepFor(Down);
    const std::size_t Colon = Address_.find(':');
    listen(Address_.substr(0, Colon), std::stoi(Address_.substr(Colon + 1)));
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Down_ = false;
  }
private:
  void listen(const std::string &Ip, int Port) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int One = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    socklen_t Size = sizeof Address;
    if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        ::listen(Socket, 512) != 0 ||
        ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) !=
            0)
      throw CannotRun("cannot listen");
    Listening_ = Socket;
    Address_ = Ip + ":" + std::to_string(ntohs(Address.sin_port));
  }
  void accept() {
    for (;;) {
      const int Socket =
          Down_ ? -1
                : ::accept4(Listening_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0) {
        sleepFor(0.002);
        continue;
      }
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Open_.insert(Socket);
      std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }
  void serve(int Socket) {
    const int One = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    std::string Data;
    Request Read;
    try {
      while (readRequest(Socket, Data, Read)) {
        const std::string Answer = Handle_(Read, Socket);
        if (Answer.empty() || !sendAll(Socket, Answer))
          break;
      }
    } catch (const std::exception &) {
      // A request that can't be read ends its connection.
    }
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Open_.erase(Socket);
    ::close(Socket);
  }
  static bool more(int Socket, std::string &Data) {
    char Bytes[65536];
    const ssize_t Count = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return false;
    Data.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }
  static bool readRequest(int Socket, std::string &Data, Request &Read) {
    std::size_t End = 0;
    while ((End = Data.find("\r\n\r\n")) == std::string::npos)
      if (!more(Socket, Data))
        return false;
    Read = {};
    Read.Head_ = Data.substr(0, End + 2);
    Data.erase(0, End + 4);
    const std::size_t First = Read.Head_.find(' ');
    const std::size_t Second = Read.Head_.find(' ', First + 1);
    Read.Method_ = Read.Head_.substr(0, First);
    Read.Target_ = Read.Head_.substr(First + 1, Second - First - 1);
    const std::string Length = Read.header("Content-Length");
    const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    while (Data.size() < Size)
      if (!more(Socket, Data))
        return false;
    Read.Body_ = Data.substr(0, Size);
    Data.erase(0, Size);
    return true;
  }

  Handler Handle_;
  std::atomic<int> Listening_{-1};
  std::atomic<bool> Down_{false};
  std::string Address_;
  std::mutex Mutex_;
  std::set<int> Open_;
};

inline std::string answer(int Status, const std::vector<std::string> &Headers,
                          const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  for (const std::string &Header : Headers)
    Text += Header + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Returns a number of a flat JSON object, -1 if it is missing.
inline double field(const std::string &Json, const std::string &Name) {
  const std::size_t At = Json.find("\"" + Name + "\"");
  if (At == std::string::npos)
    return -1;
  return std::atof(Json.c_str() + Json.find(':', At) + 1);
}

inline std::string base64(const std::string &Data) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Data.size(); At += 3) {
    unsigned Bits = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Bits = Bits << 8U | (At + Index < Data.size()
                               ? static_cast<unsigned char>(Data[At + Index])
                               : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text.push_back(At + Index <= Data.size()
                         ? Digits[Bits >> (18 - 6 * Index) & 63U]
                         : '=');
  }
  return Text;
}

/// The store: a log with keyed topics, conditions and producer epochs.
class Store {
public:
  explicit Store(const std::string &Ip)
      : Server_(Ip, [this](const Request &Read, int Socket) {
          return handle(Read, Socket);
        }) {}
  const std::string &address() const { return Server_.address(); }

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Topics_[Topic].push_back({now(), Key, Value});
    Changed_.notify_all();
  }

private:
  struct Entry {
    double At_;
    std::string Key_, Value_;
  };

  std::string reply(int Status, const std::string &Body,
                    const char *Type = "application/json") const {
    return answer(Status,
                  {"Store-Era: " + std::to_string(Era_),
                   std::string("Content-Type: ") + Type},
                  Body);
  }

  std::string handle(const Request &Read, int /*Socket*/) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    const std::string Topic = Read.query("topic");
    if (Read.Target_.rfind("/log-append", 0) == 0)
      return append(Read, Topic);
    if (Read.Target_.rfind("/log-newest", 0) == 0)
      return newest(Topic);
    if (Read.Target_.rfind("/log-read", 0) != 0)
      return reply(404, "{}");
    const std::size_t From = std::stoul(Read.query("from"));
    const std::string Wait = Read.query("wait-ms");
    const int Era = Era_;
    Changed_.wait_for(
        Lock, std::chrono::milliseconds(Wait.empty() ? 0 : std::stoi(Wait)),
        [&] { return Era_ != Era || Topics_[Topic].size() > From; });
    const std::vector<Entry> &Records = Topics_[Topic];
    if (From > Records.size())
      return reply(410, R"({"first":0})");
    std::string Body = number(Records.size(), 8) + number(0, 8);
    for (std::size_t At = From; At < Records.size(); ++At) {
      const Entry &Each = Records[At];
      Body += number(1 + Each.Key_.size() + Each.Value_.size(), 4) +
              number(Each.Key_.size(), 1) + Each.Key_ + Each.Value_;
    }
    return reply(200, Body, "application/octet-stream");
  }

  static std::string number(std::size_t Value, int Bytes) {
    std::string Text;
    for (int Index = Bytes - 1; Index >= 0; --Index)
      Text.push_back(static_cast<char>(Value >> (8 * Index) & 0xFF));
    return Text;
  }

  std::string append(const Request &Read, const std::string &Topic) {
    std::vector<Entry> &Records = Topics_[Topic];
    const std::string At = Read.query("at");
    if (!At.empty() && std::stoul(At) != Records.size())
      return reply(412, "{\"end\":" + std::to_string(Records.size()) + "}");
    const std::string Producer = Read.query("producer");
    if (!Producer.empty()) {
      const std::uint64_t Epoch = std::stoull(Read.query("epoch"));
      auto &Epochs = Epochs_[Topic + "/" + Producer];
      if (!Epochs.empty() && Epoch < Epochs.back().second)
        return reply(409, R"({"why":"fenced"})");
      Epochs.emplace_back(now(), Epoch);
    }
    const std::size_t First = Records.size();
    for (std::size_t Position = 0; Position + 5 <= Read.Body_.size();) {
      std::size_t Size = 0;
      for (int Index = 0; Index < 4; ++Index)
        Size = Size << 8U | static_cast<unsigned char>(
                                Read.Body_[Position + static_cast<std::size_t>(
                                                          Index)]);
      const std::size_t Key =
          static_cast<unsigned char>(Read.Body_[Position + 4]);
      Records.push_back({now(), Read.Body_.substr(Position + 5, Key),
                         Read.Body_.substr(Position + 5 + Key, Size - 1 - Key)});
      Position += 4 + Size;
    }
    Changed_.notify_all();
    return reply(200, "{\"offset\":" + std::to_string(First) +
                          ",\"end\":" + std::to_string(Records.size()) + "}");
  }

  std::string newest(const std::string &Topic) {
    const std::vector<Entry> &Records = Topics_[Topic];
    std::map<std::string, std::size_t> Last;
    for (std::size_t At = 0; At < Records.size(); ++At)
      Last[Records[At].Key_] = At;
    std::string Items;
    for (const auto &[Key, At] : Last)
      if (!Records[At].Value_.empty())
        Items += std::string(Items.empty() ? "" : ",") + R"({"key":")" + Key +
                 R"(","value":")" + base64(Records[At].Value_) +
                 R"(","offset":)" + std::to_string(At) + "}";
    return reply(200, R"({"items":[)" + Items + R"(],"has-more":false,"end":)" +
                          std::to_string(Records.size()) + "}");
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, std::vector<Entry>> Topics_;
  std::map<std::string, std::vector<std::pair<double, std::uint64_t>>> Epochs_;
  int Era_ = 1;
  HttpServer Server_;
};

struct Hold {
  std::string Instance_;
  int From_, To_;
  std::uint64_t Fence_;
  double Begin_, End_;
  /// When it would have run out.
  double Expires_;
};

struct Run {
  std::string Instance_, Id_, Method_;
  int Key_;
  std::uint64_t Fence_;
  double Begin_, End_;
  /// Whether the instance has exited meanwhile.
  bool Cut_ = false;
};

/// What the instances of a case have seen.
struct Seen {
  std::mutex Mutex_;
  std::vector<Hold> Holds_;
  std::vector<Run> Runs_;
};

/// An instance, as the pages describe it.
class Instance {
public:
  Instance(const std::string &Ip, std::string Id, std::string Service,
           std::string Zone, bool Sharded, Seen &All, Record &Log)
      : Id_(std::move(Id)), Service_(std::move(Service)),
        Zone_(std::move(Zone)), Sharded_(Sharded), All_(All), Log_(Log),
        Born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        Server_(Ip, [this](const Request &Read, int Socket) {
          return handle(Read, Socket);
        }) {}
  const std::string &address() const { return Server_.address(); }
  const std::string &id() const { return Id_; }

  std::atomic<int> ServiceMillis_{5};
  std::atomic<bool> Draining_{false};
  /// When draining was acknowledged first, 0 if it wasn't.
  std::atomic<double> DrainAckedAt_{0};
  /// Whether grants are logged.
  std::atomic<bool> LogsGrants_{true};
  /// Called with each call before it is handled.
  std::function<void(const Request &, int)> Before_;
  /// May replace the answer to a call; the argument has the sound answer.
  std::function<std::string(const Request &, int, const std::string &)> Spoil_;

  void startReports(const std::string &Daemon) {
    std::thread([this, Daemon] {
      for (;;) {
        if (now() < ReportsFrom_) {
          sleepFor(0.01);
          continue;
        }
        const bool Draining = Draining_;
        const Answer Got =
            call(Daemon, "PUT", "/instances/" + Id_,
                 {"Content-Type: application/json"}, report(), 1.0);
        if (Draining && Got.Status_ == 200 && DrainAckedAt_ == 0) {
          DrainAckedAt_ = now();
          Log_.line(lifeName() + " has the ack of its draining");
        }
        const double Next = now() + 0.87;
        const int Life = Life_;
        while (now() < Next && Life == Life_)
          sleepFor(0.01);
      }
    }).detach();
  }

  /// The instance crashes and is started again under its id. It holds and knows
  /// nothing of before.
  /// \param Down time from the crash until it takes connections again.
  /// \param ReportDelay time from then to its first liveness report.
  /// \param ClockOffsetMillis by how much the machine's clock is ahead then.
  void restart(double Down, double ReportDelay, int ClockOffsetMillis = 0) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      cut(0, 65535, now());
      Log_.line(lifeName() + " crashes");
      Highest_ = {};
      ++Life_;
      Sequence_ = 0;
      ReportsFrom_ = now() + Down + ReportDelay;
    }
    Server_.restart(Down);
    Born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count() +
            ClockOffsetMillis;
    Log_.line(lifeName() + " takes connections, born " +
              std::to_string(Born_.load()));
  }

  /// Sends its last call and exits.
  void leave(const std::string &Daemon) {
    Log_.line(lifeName() + " sends DELETE and exits");
    ReportsFrom_ = now() + 1000;
    call(Daemon, "DELETE", "/instances/" + Id_, {}, "", 1.0);
    Gone_ = true;
    Server_.end();
  }

  std::string report() {
    return R"({"service":")" + Service_ + R"(","address":")" + address() +
           R"(","zone":")" + Zone_ + R"(","version":"v1","slots":18,"state":")" +
           (Draining_ ? "draining" : "ready") +
           R"(","cold-left-s":0,"sequence":)" + std::to_string(++Sequence_) +
           R"(,"born":)" + std::to_string(Born_) + "}";
  }

private:
  std::string handle(const Request &Read, int Socket) {
    if (Before_)
      Before_(Read, Socket);
    const std::string Sound = soundAnswer(Read);
    return Spoil_ ? Spoil_(Read, Socket, Sound) : Sound;
  }

  std::string soundAnswer(const Request &Read) {
    std::vector<std::string> Headers = {"X-Instance-Id: " + Id_};
    const std::string RequestId = Read.header("X-Request-Id");
    if (!RequestId.empty())
      Headers.push_back("X-Request-Id: " + RequestId);
    Headers.push_back("X-Server-Load: 1,0,18,100");
    const std::string Target = Read.header("X-Target-Instance");
    if (Read.Target_ == "/health")
      return answer(Draining_ ? 503 : 200, Headers, "");
    if (!Target.empty() && Target != Id_) {
      Headers.push_back("X-Not-Executed: 1");
      return answer(421, Headers, "");
    }
    if (Read.Target_ == "/grant")
      return grant(Read, Headers);
    if (Read.Target_ == "/release")
      return release(Read, Headers);
    return run(Read, Headers);
  }

  std::string grant(const Request &Read, std::vector<std::string> Headers) {
    const int From = static_cast<int>(field(Read.Body_, "from"));
    const int To = static_cast<int>(field(Read.Body_, "to"));
    const auto Fence =
        static_cast<std::uint64_t>(field(Read.Body_, "fence"));
    const double Length = field(Read.Body_, "hold-s");
    const std::lock_guard<std::mutex> Lock(Mutex_);
    for (int Key = From; Key <= To; ++Key)
      if (Highest_[static_cast<std::size_t>(Key)] > Fence)
        return answer(409, Headers, "");
    const double Now = now();
    cut(From, To, Now);
    for (int Key = From; Key <= To; ++Key)
      Highest_[static_cast<std::size_t>(Key)] = Fence;
    Current_.push_back({lifeName(), From, To, Fence, Now, Now + Length,
                        Now + Length});
    if (LogsGrants_)
      Log_.line(lifeName() + " is granted " + std::to_string(From) + "-" +
                std::to_string(To) + " fence " + std::to_string(Fence) +
                " for " + std::to_string(Length) + " s");
    return answer(200, Headers, "");
  }

  /// Ends the holds on a range; their other parts go on.
  void cut(int From, int To, double At) {
    std::vector<Hold> Left;
    for (const Hold &Each : Current_) {
      const bool Apart = Each.To_ < From || Each.From_ > To;
      if (Apart) {
        Left.push_back(Each);
        continue;
      }
      Hold Ended = Each;
      Ended.From_ = std::max(From, Each.From_);
      Ended.To_ = std::min(To, Each.To_);
      Ended.End_ = std::min(Each.End_, At);
      const std::lock_guard<std::mutex> Lock(All_.Mutex_);
      All_.Holds_.push_back(Ended);
      if (Each.From_ < From) {
        Hold Part = Each;
        Part.To_ = From - 1;
        Left.push_back(Part);
      }
      if (Each.To_ > To) {
        Hold Part = Each;
        Part.From_ = To + 1;
        Left.push_back(Part);
      }
    }
    Current_ = Left;
  }

  std::string release(const Request &Read, std::vector<std::string> Headers) {
    const int From = static_cast<int>(field(Read.Body_, "from"));
    const int To = static_cast<int>(field(Read.Body_, "to"));
    std::unique_lock<std::mutex> Lock(Mutex_);
    cut(From, To, now());
    Log_.line(Id_ + " is to release " + std::to_string(From) + "-" +
              std::to_string(To));
    Ended_.wait(Lock, [&] {
      return std::none_of(Running_.begin(), Running_.end(), [&](int Key) {
        return Key >= From && Key <= To;
      });
    });
    Log_.line(Id_ + " has released " + std::to_string(From) + "-" +
              std::to_string(To));
    Headers.push_back("X-Handover: h" + std::to_string(++Handovers_) + Id_);
    return answer(200, Headers, "");
  }

  std::string lifeName() const {
    return Id_ + " life " + std::to_string(Life_.load());
  }

  std::string run(const Request &Read, std::vector<std::string> Headers) {
    const std::string KeyText = Read.header("X-Shard-Key");
    const int Key = KeyText.empty() ? -1 : std::stoi(KeyText);
    Run Each{lifeName(), Read.header("X-Request-Id"), Read.Method_, Key, 0, now(), 0};
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      if (Sharded_) {
        bool Held = false;
        for (const Hold &Hold : Current_)
          if (Key >= Hold.From_ && Key <= Hold.To_ && now() < Hold.End_) {
            Held = true;
            Each.Fence_ = Hold.Fence_;
          }
        if (!Held) {
          Headers.push_back("X-Not-Executed: 1");
          return answer(421, Headers, "");
        }
        Running_.insert(Key);
      }
    }
    sleepFor(ServiceMillis_ / 1000.0);
    Each.End_ = now();
    if (Gone_) {
      Log_.line(lifeName() + " has exited while it ran " + Each.Id_ +
                ", which came at " + std::to_string(Each.Begin_));
      Each.Cut_ = true;
      const std::lock_guard<std::mutex> Lock(All_.Mutex_);
      All_.Runs_.push_back(Each);
      return "";
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      if (Sharded_)
        Running_.erase(Running_.find(Key));
      Ended_.notify_all();
    }
    {
      const std::lock_guard<std::mutex> Lock(All_.Mutex_);
      All_.Runs_.push_back(Each);
    }
    Headers.push_back("X-Response-Signature: s");
    return answer(200, Headers, Id_ + " " + Each.Id_);
  }

public:
  /// Adds the holds that still run to what was seen.
  void finish() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    cut(0, 65535, now());
  }

private:
  std::string Id_, Service_, Zone_;
  bool Sharded_;
  Seen &All_;
  Record &Log_;
  std::atomic<long long> Born_;
  std::atomic<bool> Gone_{false};
  std::atomic<int> Life_{1};
  std::atomic<double> ReportsFrom_{0};
  std::atomic<int> Sequence_{0};
  std::mutex Mutex_;
  std::condition_variable Ended_;
  std::array<std::uint64_t, 65536> Highest_{};
  std::vector<Hold> Current_;
  std::multiset<int> Running_;
  int Handovers_ = 0;
  HttpServer Server_;
};

} // namespace rig

#endif
