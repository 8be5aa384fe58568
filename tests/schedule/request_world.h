#ifndef LAGOONHITCH_TESTS_SCHEDULE_REQUEST_WORLD_H
#define LAGOONHITCH_TESTS_SCHEDULE_REQUEST_WORLD_H

/// \file
/// Entries and owners of requests under a fake clock and network.

#include "limits/retry_budget.h"
#include "recovery/fate_table.h"
#include "routing/entry_request.h"
#include "tests/history/history.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// How bad the network and the owners are, in percent.
struct RequestFaults {
  int LostForwards_ = 0;
  int LateForwards_ = 0;
  int LostAnswers_ = 0;
  int LateAnswers_ = 0;
  int BrokenLinks_ = 0;
  int FailedLookUps_ = 0;
  /// Restarts of owners, with their memory lost, in all.
  int Restarts_ = 0;
  /// Changes of the one key's owner, in all.
  int Moves_ = 0;
};

/// One entry, three owners and many calls for one key.
class RequestWorld {
public:
  RequestWorld(std::uint64_t Seed, const RequestFaults &Faults);

  /// Sends that many calls over that many milliseconds and runs until all
  /// are answered and all late messages have arrived.
  void run(int Calls, int SpanMillis);

  /// Returns what has happened.
  const History &history() const { return History_; }

  /// Returns the number of calls without an answer.
  std::size_t openCalls() const;

private:
  struct Owner {
    std::uint64_t Process_ = 0;
    Duration ClockOffset_{};
    FateTable Fates_;
  };
  struct Call {
    EntryRequest State_;
    std::string Name_;
    bool Once_ = false;
    bool Answered_ = false;
    std::uint64_t AskedProcess_ = 0;
    Instant StartBy_;
  };
  using CallPtr = std::shared_ptr<Call>;

  bool chance(int Percent);
  Duration delay(int Low, int High);
  void at(Duration Delay, std::function<void()> Work);
  Instant ownerClock(const Owner &One) const;
  Targets targets();
  void begin(int Number);
  void perform(const CallPtr &One, const EntryAction &Action);
  void forward(const CallPtr &One);
  void arrive(MemberId To, std::uint64_t Process, const CallPtr &One,
              const RequestId &Id, Instant StartBy);
  void answer(MemberId From, std::uint64_t Process, const CallPtr &One,
              const RequestId &Id, Instant StartBy, AnswerPtr Result);
  void endForward(const CallPtr &One, const RequestId &Id,
                  const ForwardEnd &End);
  void lookUp(const CallPtr &One);
  void restart(MemberId Id);

  std::mt19937_64 Random_;
  RequestFaults Faults_;
  Instant Now_;
  std::multimap<Instant, std::function<void()>> Agenda_;
  std::map<MemberId, Owner> Owners_;
  MemberId Current_ = 1;
  std::uint64_t NextProcess_ = 1;
  RetryBudget Budget_;
  EntryOptions Options_;
  std::vector<CallPtr> Calls_;
  History History_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_REQUEST_WORLD_H
