/// \file
/// Costs of single decisions.

#include "limits/admission_queue.h"
#include "manifest/route_match.h"
#include "ownership/key_ownership.h"
#include "ownership/shard_hash.h"
#include "recovery/attempt_table.h"
#include "routing/host_choice.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lagoonhitch;

constexpr std::uint32_t Slots = 18;
const Instant Start{std::chrono::hours(1)};

Fleet fleetOf(std::size_t Hosts) {
  Fleet State;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    MemberRecord Record;
    Record.Host_ = "h" + std::to_string(Index);
    Record.Zone_ = "z" + std::to_string(Index % 3);
    Record.Service_ = "s";
    Record.State_ = UpstreamState::Ready;
    applyRecord(State, Record, Start);
    LoadDigest Digest;
    Digest.Host_ = Record.Host_;
    Digest.Process_ = 1;
    Digest.Sequence_ = 1;
    Digest.Accepting_ = true;
    Digest.Slots_ = Slots;
    applyDigest(State, Digest, Start);
  }
  return State;
}

KeyTable tableOf(std::size_t Rows) {
  KeyTable Table;
  Table.Offset_ = 0;
  for (std::size_t Index = 0; Index < Rows; ++Index) {
    KeyRow Row;
    Row.Range_.First_ = static_cast<KeyId>((LastKey + 1) * Index / Rows);
    Row.Range_.Last_ =
        static_cast<KeyId>((LastKey + 1) * (Index + 1) / Rows - 1);
    Row.Owner_ = {"h" + std::to_string(Index), "u", 1, 1};
    Row.Fence_ = 1;
    Table.Rows_.push_back(Row);
  }
  return Table;
}

void findOwner(benchmark::State &Run) {
  const KeyTable Table = tableOf(static_cast<std::size_t>(Run.range(0)));
  std::uint64_t Number = 0;
  while (Run.KeepRunning()) {
    const KeyId Key = shardOfKey(std::to_string(++Number), LastKey + 1);
    benchmark::DoNotOptimize(findRow(Table, Key));
  }
}
BENCHMARK(findOwner)->Arg(10)->Arg(100)->Arg(1000);

void chooseShared(benchmark::State &Run) {
  const Fleet State = fleetOf(static_cast<std::size_t>(Run.range(0)));
  HostChoice Choice;
  Choice.Service_ = "s";
  Choice.OwnZone_ = "z1";
  std::uint64_t Draw = 1;
  while (Run.KeepRunning())
    benchmark::DoNotOptimize(chooseHost(State, Choice, HostChoiceOptions(),
                                        Draw += 0x9E3779B97F4A7C15ULL, Start));
}
BENCHMARK(chooseShared)->Arg(10)->Arg(100)->Arg(1000);

void findRouteOf(benchmark::State &Run) {
  Manifest Source;
  for (int Index = 0; Index < Run.range(0); ++Index) {
    Route One;
    One.Hostname_ = "h" + std::to_string(Index % 7) + ".example";
    One.Prefix_ = "/p" + std::to_string(Index) + "/";
    Source.Routes_.push_back(One);
  }
  sortRoutes(Source);
  while (Run.KeepRunning())
    benchmark::DoNotOptimize(findRoute(Source, "h3.example", "/p3/x"));
}
BENCHMARK(findRouteOf)->Arg(10)->Arg(100)->Arg(1000);

void offerAndFinish(benchmark::State &Run) {
  AdmissionQueue Door;
  resetForUpstream(Door, Slots);
  std::uint64_t Number = 0;
  while (Run.KeepRunning()) {
    const std::chrono::milliseconds Objective(600);
    const QueuedRequest Ticket = {++Number,          1,
                                  Start + Objective, Start + 2 * Objective,
                                  Objective,         2 * Objective};
    submitRequest(Door, Ticket, Start);
    finishRequest(Door, Ticket, std::chrono::milliseconds(100));
  }
}
BENCHMARK(offerAndFinish);

void rememberFate(benchmark::State &Run) {
  AttemptTable Table;
  const AttemptTableOptions Options;
  const AnswerPtr Kept = std::make_shared<const Answer>();
  std::uint64_t Number = 0;
  Instant Now = Start;
  while (Run.KeepRunning()) {
    Now += std::chrono::microseconds(100);
    const RequestId Id = {1, ++Number, 1};
    beginAttempt(Table, Id, Now + std::chrono::seconds(2), Now);
    finishAttempt(Table, Id, Now + std::chrono::seconds(2), Kept, Options, Now);
  }
}
BENCHMARK(rememberFate);

void tickKeys(benchmark::State &Run) {
  KeyOwnershipState Duty;
  Duty.Host_ = "h0";
  KeyOwnershipInputs Around;
  for (int Index = 0; Index < Run.range(0); ++Index) {
    KeyPeer Peer;
    Peer.Host_ = "h" + std::to_string(Index);
    Peer.AcceptsKeys_ = true;
    Around.Peers_.push_back(Peer);
  }
  onTable(Duty, tableOf(static_cast<std::size_t>(Run.range(0))), 1, Start);
  while (Run.KeepRunning())
    benchmark::DoNotOptimize(onKeyTick(Duty, Around, Start));
}
BENCHMARK(tickKeys)->Arg(10)->Arg(100)->Arg(1000);

} // namespace

BENCHMARK_MAIN();
