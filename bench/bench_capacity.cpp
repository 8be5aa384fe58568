/// \file
/// Slopes of state, processor time and messages, each from at least four
/// sizes with the fit and its error. docs/CAPACITY.md is worked out from them.

#include "bench/fit.h"
#include "bench/process_usage.h"
#include "control/control.h"
#include "control/routing_view.h"
#include "net/control_codec.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "ownership/apply.h"
#include "ownership/record_json.h"
#include "platform/monotonic_clock.h"
#include "recovery/dedup_window.h"
#include "recovery/fate_table.h"
#include "tests/process/site.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <thread>

ABSL_FLAG(bool, json, false, "print JSON");

namespace {

using namespace lagoonhitch;

constexpr const char *ServiceName = "katalog";

/// TCP, IP and nng headers of one control message, and the TCP
/// acknowledgement that answers it: 20 + 20 + 12 + 8 and 52 bytes.
constexpr double WireOverheadBytes = 60 + 52;

/// Small blocks and those that have mappings of their own.
double heapBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks) + static_cast<double>(Info.hblkhd);
}

double processorMicros() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) * 1e6 +
         static_cast<double>(Used.tv_nsec) / 1e3;
}

/// One measured slope.
struct Slope {
  std::string Name_;
  std::string Unit_;
  std::vector<FitPoint> Points_;
};

/// Measures the value at each size.
Slope measure(const std::string &Name, const std::string &Unit,
              const std::vector<double> &Sizes,
              const std::function<double(std::size_t)> &Value) {
  Slope Measured{Name, Unit, {}};
  for (double Size : Sizes)
    Measured.Points_.push_back({Size, Value(static_cast<std::size_t>(Size))});
  return Measured;
}

Member memberOf(MemberId Id) {
  Member One;
  One.Id_ = Id;
  One.Host_ = "host-" + std::to_string(Id);
  One.Zone_ = "zone-" + std::to_string(Id % 4);
  One.Nonce_ = Id * 7919;
  One.PeerAddress_ = "10.20.30.40:7300";
  One.ControlAddress_ = "10.20.30.40:7400";
  One.Slots_[ServiceName] = 18;
  One.Seats_.Epoch_ = 1;
  One.Seats_.Witnesses_ = {1, 2, 3};
  One.Seats_.Heir_ = 4;
  return One;
}

Table tableOfSize(std::size_t Members, std::size_t Shards) {
  Table State;
  if (Members == 0)
    return State;
  for (MemberId Id = 1; Id <= Members; ++Id)
    State.Members_.emplace(Id, memberOf(Id));
  State.Services_[ServiceName].resize(Shards);
  for (std::size_t Index = 0; Index < Shards; ++Index)
    State.Services_[ServiceName][Index] = {Index % Members + 1, 1, NoMember};
  State.Next_ = Members + 1;
  return State;
}

double bytesOf(const std::function<std::shared_ptr<void>()> &Make) {
  const double Before = heapBytes();
  const std::shared_ptr<void> Kept = Make();
  return heapBytes() - Before;
}

double tableBytes(std::size_t Members, std::size_t Shards) {
  return bytesOf([Members, Shards]() -> std::shared_ptr<void> {
    return std::make_shared<Table>(tableOfSize(Members, Shards));
  });
}

AnswerPtr typicalAnswer() {
  Answer Result;
  Result.Status_ = 200;
  Result.Headers_ = {{"Content-Type", "application/json"}};
  Result.Body_ = std::string(300, 'x');
  return std::make_shared<const Answer>(Result);
}

double fateBytes(std::size_t Count) {
  return bytesOf([Count]() -> std::shared_ptr<void> {
    const std::shared_ptr<FateTable> Fates = std::make_shared<FateTable>();
    const Instant Now{std::chrono::seconds(100)};
    for (std::uint64_t Number = 0; Number < Count; ++Number) {
      const RequestId Id{1, Number, 1};
      beginAttempt(*Fates, Id, Now, Now);
      finishAttempt(*Fates, Id, Now, typicalAnswer(), {}, Now);
    }
    return Fates;
  });
}

double runningBytes(std::size_t Count) {
  return bytesOf([Count]() -> std::shared_ptr<void> {
    const std::shared_ptr<FateTable> Fates = std::make_shared<FateTable>();
    const Instant Now{std::chrono::seconds(100)};
    for (std::uint64_t Number = 0; Number < Count; ++Number)
      beginAttempt(*Fates, {1, Number, 1}, Now, Now);
    return Fates;
  });
}

double dedupBytes(std::size_t Count) {
  return bytesOf([Count]() -> std::shared_ptr<void> {
    const std::shared_ptr<DedupWindow> Window = std::make_shared<DedupWindow>();
    const Instant Now{std::chrono::seconds(100)};
    const AnswerPtr Shared = typicalAnswer();
    for (std::uint64_t Number = 0; Number < Count; ++Number) {
      const DedupClaim Claim{"awarddesk\n017f22e2-79b0-7cc3-98c4-" +
                                 std::to_string(Number),
                             {},
                             {}};
      const RequestId Id{1, Number, 1};
      beginKeyed(*Window, Claim, {}, Id, {}, Now);
      finishKeyed(*Window, Claim.Key_, Id, Shared, {}, Now);
    }
    return Window;
  });
}

/// A member of a large site that holds a lease and witnesses three others.
ControlState stateOfSize(std::size_t Members, std::size_t Shards) {
  ControlState State;
  State.Reader_.Table_ = tableOfSize(Members, Shards);
  State.Reader_.Synced_ = true;
  State.Identity_ = memberOf(2);
  State.Self_ = 2;
  State.SeenPlanVersion_ = 0;
  return State;
}

double microsPer(std::size_t Rounds, const std::function<void()> &Work) {
  const double Before = processorMicros();
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    Work();
  return (processorMicros() - Before) / static_cast<double>(Rounds);
}

double tickMicros(std::size_t Members) {
  ControlState State = stateOfSize(Members, 18000);
  Instant Now{std::chrono::seconds(100)};
  // Planning is done by one member and measured by itself.
  State.PlanVersionSince_ = Now + std::chrono::hours(10);
  return microsPer(2000, [&] {
    Now += std::chrono::milliseconds(50);
    ControlActions Actions;
    tick(State, Now, Actions);
  });
}

double renewalMicros(std::size_t Withheld) {
  ControlState State = stateOfSize(860, 18000);
  LeaseMessage Message;
  Message.From_ = 5;
  Message.To_ = 2;
  LeaseMessage::Renew Renewal;
  for (ShardId Id = 0; Id < Withheld; ++Id)
    Renewal.Withheld_.push_back({ServiceName, Id, 1});
  const Instant Now{std::chrono::seconds(100)};
  return microsPer(5000, [&] {
    ++Renewal.Sequence_;
    Message.Body_ = Renewal;
    const std::string Wire = encodeLeaseMessage(Message);
    const std::optional<LeaseMessage> Read =
        decodeLeaseMessage(Wire.data(), Wire.size());
    ControlActions Actions;
    onMessage(State, *Read, Now, Actions);
    for (const LeaseMessage &Sent : Actions.Messages_)
      encodeLeaseMessage(Sent);
  });
}

double renewalWireBytes(std::size_t Withheld) {
  LeaseMessage Message;
  Message.From_ = 100000;
  Message.To_ = 100001;
  LeaseMessage::Renew Renewal;
  Renewal.Sequence_ = 1000000;
  Renewal.Floor_ = 100000;
  for (ShardId Id = 0; Id < Withheld; ++Id)
    Renewal.Withheld_.push_back({ServiceName, Id, 1000});
  Message.Body_ = Renewal;
  return static_cast<double>(encodeLeaseMessage(Message).size()) +
         WireOverheadBytes;
}

double recordMicros(std::size_t Shards) {
  ControlState State = stateOfSize(860, Shards);
  const Instant Now{std::chrono::seconds(100)};
  Token Fence = 1;
  return microsPer(200, [&] {
    State.Reader_.Table_.Services_[ServiceName][0] = {5, Fence, 6};
    Record Entry;
    Entry.Body_ = Record::Release{5, {{ServiceName, 0, Fence}}};
    Fence += 2;
    LogBatch Batch;
    Batch.Records_.emplace_back(State.Reader_.Table_.Next_,
                                decodeRecord(encodeRecord(Entry)));
    ControlActions Actions;
    onLogBatch(State, Batch, Now, Actions);
    makeView(State);
  });
}

double checkpointBytes(std::size_t Shards) {
  Record Entry;
  Entry.Body_ = Record::Checkpoint{tableOfSize(860, Shards)};
  return static_cast<double>(encodeRecord(Entry).size());
}

/// Memory of one process that holds both ends of a number of connections.
double connectionBytes(std::size_t Count) {
  const MonotonicClock Time;
  IoLoop Loop;
  HttpServerOptions ServerOptions;
  ServerOptions.Address_ = "127.0.0.1:0";
  HttpServer Server(
      Loop, ServerOptions,
      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->respond(HttpResponse());
      });
  HttpClient Client(Loop, Time, HttpClientOptions());
  const double Before = heapBytes();
  std::size_t Done = 0;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    HttpCallOptions Fresh;
    Fresh.FreshConnection_ = true;
    Client.send(Server.address(), HttpRequest(), Fresh,
                [&Done, &Loop, Count](const HttpResult &) {
                  if (++Done == Count)
                    Loop.stop();
                });
  }
  Loop.run();
  return heapBytes() - Before;
}

/// What a daemon uses while its site is at rest: renewals, witnessing, the
/// log reader and announcements of two upstreams.
struct RestUsage {
  double CorePercent_ = 0;
  double ResidentMegabytes_ = 0;
};

RestUsage measureRest() {
  constexpr std::chrono::seconds Span{10};
  constexpr std::uint32_t Hosts = 6;
  const MonotonicClock Time;
  SiteOptions Options;
  Options.RecordRuns_ = false;
  Site Quiet(Time, Options);
  Quiet.waitUntilServing(std::chrono::seconds(20));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  double Before = 0;
  for (std::uint32_t Host = 0; Host < Hosts; ++Host)
    Before += processorSeconds(Quiet.daemon(Host).id());
  std::this_thread::sleep_for(Span);
  RestUsage Usage;
  double After = 0;
  for (std::uint32_t Host = 0; Host < Hosts; ++Host) {
    After += processorSeconds(Quiet.daemon(Host).id());
    Usage.ResidentMegabytes_ +=
        residentBytes(Quiet.daemon(Host).id()) / 1048576 / Hosts;
  }
  Usage.CorePercent_ =
      100 * (After - Before) / Hosts / static_cast<double>(Span.count());
  return Usage;
}

std::vector<Slope> allSlopes() {
  const std::vector<double> ShardSizes = {4500, 9000, 18000, 36000};
  const std::vector<double> MemberSizes = {100, 200, 400, 860};
  const std::vector<double> EntrySizes = {5000, 10000, 20000, 40000};
  const std::vector<double> Few = {0, 16, 32, 64};
  std::vector<Slope> Slopes;
  Slopes.push_back(measure("table, per shard", "bytes", ShardSizes,
                           [](std::size_t N) { return tableBytes(100, N); }));
  Slopes.push_back(measure("table, per member", "bytes", MemberSizes,
                           [](std::size_t N) { return tableBytes(N, 100); }));
  Slopes.push_back(
      measure("kept answer of 300 bytes", "bytes", EntrySizes, fateBytes));
  Slopes.push_back(
      measure("running attempt", "bytes", EntrySizes, runningBytes));
  Slopes.push_back(measure("Idempotency-Key", "bytes", EntrySizes, dedupBytes));
  Slopes.push_back(measure("connection, both ends", "bytes",
                           {50, 100, 200, 290}, connectionBytes));
  Slopes.push_back(
      measure("control tick, per member", "us", MemberSizes, tickMicros));
  Slopes.push_back(measure("renewal and answer, per withheld shard", "us", Few,
                           renewalMicros));
  Slopes.push_back(measure("renewal on the wire, per withheld shard", "bytes",
                           Few, renewalWireBytes));
  Slopes.push_back(measure("record applied and view made, per shard", "us",
                           ShardSizes, recordMicros));
  Slopes.push_back(measure("checkpoint record, per shard", "bytes", ShardSizes,
                           checkpointBytes));
  return Slopes;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  const std::vector<Slope> Slopes = allSlopes();
  nlohmann::json Rows = nlohmann::json::array();
  for (const Slope &One : Slopes) {
    const Fit Line = fitLine(One.Points_);
    Rows.push_back({{"name", One.Name_},
                    {"unit", One.Unit_},
                    {"offset", Line.Offset_},
                    {"slope", Line.Slope_},
                    {"error_percent", Line.ErrorPercent_}});
  }
  const RestUsage Rest = measureRest();
  if (absl::GetFlag(FLAGS_json)) {
    const nlohmann::json All = {{"slopes", Rows},
                                {"rest_core_percent", Rest.CorePercent_},
                                {"rest_resident_mb", Rest.ResidentMegabytes_}};
    std::cout << All.dump() << "\n";
    return 0;
  }
  std::cout << std::left << std::setw(42) << "what" << std::setw(7) << "unit"
            << std::right << std::setw(14) << "offset" << std::setw(14)
            << "slope" << std::setw(10) << "error %"
            << "\n"
            << std::fixed << std::setprecision(4);
  for (const nlohmann::json &Row : Rows)
    std::cout << std::left << std::setw(42) << Row.value("name", "")
              << std::setw(7) << Row.value("unit", "") << std::right
              << std::setw(14) << Row.value("offset", 0.0) << std::setw(14)
              << Row.value("slope", 0.0) << std::setw(10)
              << Row.value("error_percent", 0.0) << "\n";
  std::cout << "a daemon at rest uses " << Rest.CorePercent_
            << " % of a core and " << Rest.ResidentMegabytes_ << " MB\n";
  return 0;
}
