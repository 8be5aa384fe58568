#include "tests/history/checker.h"

#include <algorithm>
#include <map>
#include <set>

namespace lagoonhitch {

namespace {

using IntervalsByShard =
    std::map<ShardKey, std::vector<History::ServingInterval>>;

IntervalsByShard groupByShard(const History &Events) {
  IntervalsByShard Groups;
  for (const History::ServingInterval &Interval : Events.ServingIntervals_)
    Groups[Interval.Shard_].push_back(Interval);
  for (auto &[Shard, Intervals] : Groups)
    std::sort(
        Intervals.begin(), Intervals.end(),
        [](const History::ServingInterval &A,
           const History::ServingInterval &B) { return A.Begin_ < B.Begin_; });
  return Groups;
}

std::string shardName(const ShardKey &Shard) {
  return Shard.Service_ + "/" + std::to_string(Shard.Shard_);
}

std::string describe(const History::ServingInterval &Interval) {
  return Interval.Owner_ + " with token " + std::to_string(Interval.Token_) +
         " [" +
         std::to_string(toMillis(Interval.Begin_.time_since_epoch()).count()) +
         ".." +
         std::to_string(toMillis(Interval.End_.time_since_epoch()).count()) +
         " ms]";
}

std::map<std::string, std::size_t> countRuns(const History &Events) {
  std::map<std::string, std::size_t> Counts;
  for (const History::Run &Run : Events.Runs_)
    ++Counts[Run.Call_];
  return Counts;
}

void append(Violations &All, const Violations &More) {
  All.insert(All.end(), More.begin(), More.end());
}

} // namespace

Violations checkSoleOwner(const History &Events) {
  Violations Found;
  for (const auto &[Shard, Intervals] : groupByShard(Events)) {
    const History::ServingInterval *LatestEnding = nullptr;
    for (const History::ServingInterval &Interval : Intervals) {
      if (LatestEnding != nullptr && LatestEnding->Owner_ != Interval.Owner_ &&
          Interval.Begin_ < LatestEnding->End_)
        Found.push_back("two owners of " + shardName(Shard) + ": " +
                        describe(*LatestEnding) + " and " + describe(Interval));
      if (LatestEnding == nullptr || Interval.End_ > LatestEnding->End_)
        LatestEnding = &Interval;
    }
  }
  return Found;
}

Violations checkAtMostOnce(const History &Events) {
  std::set<std::string> NonIdempotentCalls;
  for (const History::Run &Run : Events.Runs_)
    if (Run.NonIdempotent_)
      NonIdempotentCalls.insert(Run.Call_);
  Violations Found;
  for (const auto &[Call, Count] : countRuns(Events))
    if (Count > 1 && NonIdempotentCalls.count(Call) > 0)
      Found.push_back("call " + Call + " was executed " +
                      std::to_string(Count) + " times");
  return Found;
}

Violations checkNotRun(const History &Events) {
  const std::map<std::string, std::size_t> Runs = countRuns(Events);
  Violations Found;
  for (const History::CallAnswer &Answer : Events.Answers_)
    if (Answer.Outcome_ == Outcome::NotRun && Runs.count(Answer.Call_) > 0)
      Found.push_back("call " + Answer.Call_ +
                      " was executed although its outcome is not-run");
  return Found;
}

Violations checkFencingTokens(const History &Events) {
  Violations Found;
  for (const auto &[Shard, Intervals] : groupByShard(Events)) {
    for (std::size_t Index = 1; Index < Intervals.size(); ++Index) {
      const History::ServingInterval &Before = Intervals[Index - 1];
      const History::ServingInterval &After = Intervals[Index];
      const bool SameOwner = Before.Owner_ == After.Owner_;
      if (After.Token_ < Before.Token_ ||
          (!SameOwner && After.Token_ == Before.Token_))
        Found.push_back("token of " + shardName(Shard) + " did not increase: " +
                        describe(Before) + ", then " + describe(After));
    }
  }
  return Found;
}

Violations checkAssignments(const History &Events) {
  std::map<ShardKey, History::Assignment> Latest;
  Violations Found;
  for (const History::Assignment &Assignment : Events.Assignments_) {
    const auto [Previous, IsNew] =
        Latest.try_emplace(Assignment.Shard_, Assignment);
    if (IsNew)
      continue;
    const bool TokenDecreased = Assignment.Token_ < Previous->second.Token_;
    const bool OwnerChanged = Assignment.Token_ == Previous->second.Token_ &&
                              Assignment.Owner_ != Previous->second.Owner_;
    if (TokenDecreased || OwnerChanged)
      Found.push_back("assignment of " + shardName(Assignment.Shard_) + " to " +
                      std::to_string(Previous->second.Owner_) + " at token " +
                      std::to_string(Previous->second.Token_) +
                      " was lost: replaced by an older or conflicting one");
    Previous->second = Assignment;
  }
  return Found;
}

Violations checkAnswers(const History &Events) {
  Violations Found;
  for (const History::CallAnswer &Answer : Events.Answers_)
    if (Answer.Outcome_ == Outcome::Ran && Answer.Body_ != Answer.Expected_)
      Found.push_back("call " + Answer.Call_ + " was answered with \"" +
                      Answer.Body_ + "\" instead of \"" + Answer.Expected_ +
                      "\"");
  return Found;
}

Violations checkAll(const History &Events) {
  Violations Found;
  append(Found, checkSoleOwner(Events));
  append(Found, checkAtMostOnce(Events));
  append(Found, checkNotRun(Events));
  append(Found, checkFencingTokens(Events));
  append(Found, checkAssignments(Events));
  append(Found, checkAnswers(Events));
  return Found;
}

Violations checkStatedLimit(const History &Events, const StatedLimit &Limit) {
  constexpr std::uint32_t WindowSeconds = 4;
  const std::size_t Bound = Limit.PerSecond_ * WindowSeconds * 3 / 2 + 5;
  std::vector<Instant> Starts;
  for (const History::Run &Run : Events.Runs_)
    if (Run.Upstream_ == Limit.Upstream_ && Run.Begin_ >= Limit.From_ &&
        Run.Begin_ < Limit.To_)
      Starts.push_back(Run.Begin_);
  std::sort(Starts.begin(), Starts.end());
  std::size_t Most = 0;
  std::size_t Oldest = 0;
  for (std::size_t Newest = 0; Newest < Starts.size(); ++Newest) {
    while (Starts[Newest] - Starts[Oldest] >
           std::chrono::seconds(WindowSeconds))
      ++Oldest;
    Most = std::max(Most, Newest - Oldest + 1);
  }
  if (Most <= Bound)
    return {};
  return {Limit.Upstream_ + " stated a limit of " +
          std::to_string(Limit.PerSecond_) + " requests/s and got " +
          std::to_string(Most) + " in " + std::to_string(WindowSeconds) +
          " s, bound " + std::to_string(Bound)};
}

} // namespace lagoonhitch
