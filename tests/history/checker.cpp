#include "tests/history/checker.h"

#include <algorithm>
#include <map>
#include <set>

namespace lagoonhitch {

namespace {

using ServingsByShard = std::map<ShardKey, std::vector<History::Serving>>;

ServingsByShard groupByShard(const History &Events) {
  ServingsByShard Groups;
  for (const History::Serving &One : Events.Servings_)
    Groups[One.Shard_].push_back(One);
  for (auto &[Shard, Servings] : Groups)
    std::sort(Servings.begin(), Servings.end(),
              [](const History::Serving &A, const History::Serving &B) {
                return A.Begin_ < B.Begin_;
              });
  return Groups;
}

std::string nameOf(const ShardKey &Shard) {
  return Shard.Service_ + "/" + std::to_string(Shard.Shard_);
}

std::string describe(const History::Serving &One) {
  return One.Daemon_ + " with token " + std::to_string(One.Token_) + " [" +
         std::to_string(toMillis(One.Begin_.time_since_epoch()).count()) +
         ".." + std::to_string(toMillis(One.End_.time_since_epoch()).count()) +
         " ms]";
}

std::map<std::string, std::size_t> countRuns(const History &Events) {
  std::map<std::string, std::size_t> Counts;
  for (const History::Run &One : Events.Runs_)
    ++Counts[One.Call_];
  return Counts;
}

void append(Violations &All, const Violations &More) {
  All.insert(All.end(), More.begin(), More.end());
}

} // namespace

Violations checkSoleOwner(const History &Events) {
  Violations Found;
  for (const auto &[Shard, Servings] : groupByShard(Events)) {
    const History::Serving *Longest = nullptr;
    for (const History::Serving &One : Servings) {
      if (Longest != nullptr && Longest->Daemon_ != One.Daemon_ &&
          One.Begin_ < Longest->End_)
        Found.push_back("two owners of " + nameOf(Shard) + ": " +
                        describe(*Longest) + " and " + describe(One));
      if (Longest == nullptr || One.End_ > Longest->End_)
        Longest = &One;
    }
  }
  return Found;
}

Violations checkAtMostOnce(const History &Events) {
  std::set<std::string> OnceCalls;
  for (const History::Run &One : Events.Runs_)
    if (One.Once_)
      OnceCalls.insert(One.Call_);
  Violations Found;
  for (const auto &[Call, Count] : countRuns(Events))
    if (Count > 1 && OnceCalls.count(Call) > 0)
      Found.push_back("call " + Call + " ran " + std::to_string(Count) +
                      " times");
  return Found;
}

Violations checkNotRun(const History &Events) {
  const std::map<std::string, std::size_t> Runs = countRuns(Events);
  Violations Found;
  for (const History::Answered &One : Events.Answers_)
    if (One.Outcome_ == Outcome::NotRun && Runs.count(One.Call_) > 0)
      Found.push_back("call " + One.Call_ + " was answered not-run but ran");
  return Found;
}

Violations checkTokens(const History &Events) {
  Violations Found;
  for (const auto &[Shard, Servings] : groupByShard(Events)) {
    for (std::size_t Index = 1; Index < Servings.size(); ++Index) {
      const History::Serving &Before = Servings[Index - 1];
      const History::Serving &After = Servings[Index];
      const bool SameDaemon = Before.Daemon_ == After.Daemon_;
      if (After.Token_ < Before.Token_ ||
          (!SameDaemon && After.Token_ == Before.Token_))
        Found.push_back("token of " + nameOf(Shard) + " did not grow: " +
                        describe(Before) + ", then " + describe(After));
    }
  }
  return Found;
}

Violations checkAssignments(const History &Events) {
  std::map<ShardKey, History::Assignment> Latest;
  Violations Found;
  for (const History::Assignment &One : Events.Assignments_) {
    const auto [Known, IsNew] = Latest.try_emplace(One.Shard_, One);
    if (IsNew)
      continue;
    const bool Lost = One.Token_ < Known->second.Token_;
    const bool Changed = One.Token_ == Known->second.Token_ &&
                         One.Owner_ != Known->second.Owner_;
    if (Lost || Changed)
      Found.push_back("assignment of " + nameOf(One.Shard_) + " to " +
                      std::to_string(Known->second.Owner_) + " at token " +
                      std::to_string(Known->second.Token_) + " was lost");
    Known->second = One;
  }
  return Found;
}

Violations checkAnswers(const History &Events) {
  Violations Found;
  for (const History::Answered &One : Events.Answers_)
    if (One.Outcome_ == Outcome::Ran && One.Body_ != One.Expected_)
      Found.push_back("call " + One.Call_ + " got \"" + One.Body_ +
                      "\" instead of \"" + One.Expected_ + "\"");
  return Found;
}

Violations checkAll(const History &Events) {
  Violations Found;
  append(Found, checkSoleOwner(Events));
  append(Found, checkAtMostOnce(Events));
  append(Found, checkNotRun(Events));
  append(Found, checkTokens(Events));
  append(Found, checkAssignments(Events));
  append(Found, checkAnswers(Events));
  return Found;
}

} // namespace lagoonhitch
