/// \file
/// Costs of single decisions.

#include "control/control.h"
#include "control/routing_view.h"
#include "limits/admission.h"
#include "membership/seat_planner.h"
#include "ownership/apply.h"
#include "ownership/planner.h"
#include "ownership/shard_hash.h"
#include "recovery/fate_table.h"
#include "routing/upstream_choice.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lagoonhitch;

constexpr const char *ServiceName = "katalog";

Table tableOfSize(std::size_t MemberCount, std::uint32_t ShardCount) {
  Table State;
  if (MemberCount == 0)
    return State;
  for (std::size_t Index = 1; Index <= MemberCount; ++Index) {
    Member One;
    One.Id_ = Index;
    One.Host_ = "h" + std::to_string(Index);
    One.Zone_ = "z" + std::to_string(Index % 4);
    One.Slots_[ServiceName] = 18;
    One.Seats_.Epoch_ = 1;
    for (std::size_t Next = 0; Next < 3; ++Next)
      One.Seats_.Witnesses_.push_back((Index + Next) % MemberCount + 1);
    One.Seats_.Heir_ = (Index + 3) % MemberCount + 1;
    State.Members_.emplace(Index, std::move(One));
  }
  State.Services_[ServiceName].resize(ShardCount);
  for (ShardId Id = 0; Id < ShardCount; ++Id)
    State.Services_[ServiceName][Id] = {Id % MemberCount + 1, 1, NoMember};
  State.Next_ = MemberCount + 1;
  return State;
}

void routeKey(benchmark::State &Run) {
  RoutingView View;
  View.Self_ = 1;
  View.Table_ = std::make_shared<const Table>(
      tableOfSize(static_cast<std::size_t>(Run.range(0)), 18000));
  std::uint64_t Number = 0;
  while (Run.KeepRunning()) {
    const ShardId Id = shardOfKey(std::to_string(++Number), 18000);
    benchmark::DoNotOptimize(servedToken(View, ServiceName, Id));
  }
}
BENCHMARK(routeKey)->Arg(10)->Arg(100)->Arg(1000);

void chooseShared(benchmark::State &Run) {
  const Table State = tableOfSize(static_cast<std::size_t>(Run.range(0)), 1);
  const UpstreamCandidates Candidates =
      listCandidates(State, ServiceName, "z1");
  UpstreamLoads Loads;
  const Instant Now{std::chrono::seconds(100)};
  for (MemberId Id : Candidates.Members_)
    Loads[Id].PeakAt_ = Now;
  std::uint64_t Seed = 1;
  while (Run.KeepRunning())
    benchmark::DoNotOptimize(
        chooseUpstream(Candidates, Loads, NoMember, Seed, {}, Now));
}
BENCHMARK(chooseShared)->Arg(10)->Arg(100)->Arg(1000);

void admitAndComplete(benchmark::State &Run) {
  Admission State;
  const AdmissionOptions Options;
  resetAdmission(State, 18, 130, Options);
  Instant Now{std::chrono::seconds(100)};
  while (Run.KeepRunning()) {
    Now += std::chrono::microseconds(10);
    admit(State, 1, Priority::Normal, Now + std::chrono::seconds(1), Options,
          Now);
    complete(State, UpstreamAnswer::Good, std::chrono::milliseconds(1), Options,
             Now);
  }
}
BENCHMARK(admitAndComplete);

void rememberFate(benchmark::State &Run) {
  FateTable Fates;
  const FateOptions Options;
  Instant Now{std::chrono::seconds(100)};
  const AnswerPtr Result = std::make_shared<const Answer>();
  std::uint64_t Number = 0;
  while (Run.KeepRunning()) {
    Now += std::chrono::microseconds(200);
    const RequestId Id{1, ++Number, 1};
    beginAttempt(Fates, Id, Now + std::chrono::seconds(2), Now);
    finishAttempt(Fates, Id, Now + std::chrono::seconds(2), Result, Options,
                  Now);
  }
}
BENCHMARK(rememberFate);

void planAll(benchmark::State &Run) {
  const std::uint32_t ShardCount = 18000;
  const Table State =
      tableOfSize(static_cast<std::size_t>(Run.range(0)), ShardCount);
  PlanOptions Options;
  Options.Services_ = {{ServiceName, ShardCount}};
  while (Run.KeepRunning()) {
    benchmark::DoNotOptimize(planShards(State, Options));
    benchmark::DoNotOptimize(planSeats(State));
  }
}
BENCHMARK(planAll)->Arg(10)->Arg(100)->Arg(290)->Arg(1000);

void applyRelease(benchmark::State &Run) {
  Table State = tableOfSize(static_cast<std::size_t>(Run.range(0)), 18000);
  Token Fence = 1;
  Record Entry;
  while (Run.KeepRunning()) {
    State.Services_[ServiceName][0] = {1, Fence, 2};
    Entry.Body_ = Record::Release{1, {{ServiceName, 0, Fence}}};
    apply(State, Entry, State.Next_);
    Fence += 2;
  }
}
BENCHMARK(applyRelease)->Arg(10)->Arg(100)->Arg(1000);

} // namespace

BENCHMARK_MAIN();
