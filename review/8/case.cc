// Requesters that read an answer slowly lose it: see claim.txt.
#include "../rig-2/rig.hpp"

using namespace rig;

namespace {
constexpr int Requesters = 8;
constexpr int DeadlineMs = 6000;         // prize-claim
constexpr size_t AnswerBytes = 30000;    // prize-claim, its largest answer
constexpr int Window = 4096;             // "small windows"
constexpr double Pause = 4.5;            // within the deadline
constexpr int Allowed = 3;               // LOST: more than three times
} // namespace

int main(int, char **Argv) {
  const bool Trouble = begin(Argv[1]);
  Store S;
  Instance I("i-1", "prizes", "ro-central-a", 12);
  I.OnRequest = [&](const Message &R, int Socket) {
    sleepFor(0.29);
    return sendAll(Socket, encode(I.answerTo(R, 200, std::string(AnswerBytes, 'x'))));
  };
  S.put("keyed.op", "config",
        manifest(1, {{"prizes"}},
                 {{"prizes.example", "/claim/", "prizes", "non_idempotent", 6, 1.5, 2, 2}}));
  Daemon D({"m1", "ro-central-a", "prizes", I.address(), S.address(), 160});
  I.beat(D.Control);
  if (!waitFor(10, [&] { return D.ready(); }))
    finish(2, "the daemon is not ready");
  Message A;
  if (!waitFor(10, [&] {
        return call(D.Outbound, request("POST", "prizes.example", "/claim/0", text("warm-", now()), DeadlineMs, "b"), A, 5) == Read::Whole &&
               A.status() == 200;
      }))
    finish(2, "no request is served");
  sleepFor(4); // stable-window-s is 3 s

  // One request on each connection first, so that they are kept ones.
  struct Requester {
    int Socket = -1;
    std::string Buffer;
  };
  std::vector<Requester> All(Requesters);
  for (int C = 0; C < Requesters; ++C) {
    All[C].Socket = connectTo(D.Outbound, 6, Window);
    const std::string Id = text("first-", C);
    Message Answer;
    const bool Served =
        sendAll(All[C].Socket, encode(request("POST", "prizes.example", "/claim/1", Id, DeadlineMs, "b"))) &&
        readMessage(All[C].Socket, All[C].Buffer, Answer) == Read::Whole && Answer.status() == 200;
    note("requester ", C, ": ", Id, Served ? " is served" : " is not served");
    if (!Served)
      finish(2, "a connection could not be used");
  }
  note("SIGHUP to the daemon; its settings are unchanged");
  D.send(SIGHUP);

  std::atomic<int> Lost{0}, Whole{0};
  std::vector<std::thread> Threads;
  for (int C = 0; C < Requesters; ++C)
    Threads.emplace_back([&, C] {
      const std::string Id = text("claim-", C);
      note("requester ", C, " sends ", Id, " on its kept connection");
      const double Sent = now();
      sendAll(All[C].Socket, encode(request("POST", "prizes.example", "/claim/2", Id, DeadlineMs, "b")));
      if (Trouble)
        sleepFor(Pause);
      Message Answer;
      const Read R = readMessage(All[C].Socket, All[C].Buffer, Answer);
      const bool Complete = R == Read::Whole && Answer.status() == 200 && Answer.Body.size() == AnswerBytes;
      note(Id, ": ran ", I.runsOf(Id), " times; answer ", nameOf(R), ", ",
           Complete ? Answer.Body.size() : All[C].Buffer.size(), " bytes, ", now() - Sent,
           " s after it was sent");
      if (Complete)
        ++Whole;
      else if (I.runsOf(Id) == 1)
        ++Lost;
    });
  for (std::thread &T : Threads)
    T.join();
  const std::string Count = text(Whole.load(), " of ", Requesters, " answers arrived whole; ", Lost.load(),
                                 " requests ran and their connection was closed without the answer");
  finish(Lost > Allowed ? 1 : 0, Count);
}
