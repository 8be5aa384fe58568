/// \file
/// The program `standin`, which replaces the platform's store or an upstream in
/// tests.

#include "core/error.h"
#include "net/http_server.h"
#include "platform/monotonic_clock.h"
#include "tests/standin/store_standin.h"
#include "tests/standin/upstream_standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "listening address");
ABSL_FLAG(std::string, service, "", "name of the service");
ABSL_FLAG(std::string, instance, "", "instance id of the upstream");
ABSL_FLAG(std::string, zone, "z", "availability zone");
ABSL_FLAG(bool, divided, false, "reject requests whose key is not held");
ABSL_FLAG(bool, keys_in_heartbeats, false,
          "report held keys in heartbeats and take keys from the replies");
ABSL_FLAG(std::uint32_t, slots, 18, "maximum number of concurrent requests");
ABSL_FLAG(std::uint32_t, service_us, 1000,
          "processing time of a request, in microseconds");
ABSL_FLAG(std::string, runs, "",
          "file to which each run is appended as JSON lines");

namespace {

using lagoonhitch::HttpExchange;
using lagoonhitch::HttpRequest;

lagoonhitch::HttpServerOptions serverOptions() {
  constexpr std::size_t BodyLimit = 64 * 1024 * 1024;
  lagoonhitch::HttpServerOptions Options;
  Options.Address_ = absl::GetFlag(FLAGS_listen);
  Options.MaxBodyBytes_ = BodyLimit;
  return Options;
}

void runStore() {
  lagoonhitch::IoLoop Loop;
  lagoonhitch::StoreStandin Store(Loop);
  lagoonhitch::HttpServer Server(
      Loop, serverOptions(),
      [&Store](const HttpRequest &Request,
               const std::shared_ptr<HttpExchange> &Exchange) {
        Store.handle(Request, Exchange);
      });
  std::cout << Server.address() << std::endl;
  Loop.run();
}

lagoonhitch::UpstreamStandinOptions upstreamOptions() {
  lagoonhitch::UpstreamStandinOptions Options;
  Options.Service_ = absl::GetFlag(FLAGS_service);
  Options.InstanceId_ = absl::GetFlag(FLAGS_instance);
  Options.Zone_ = absl::GetFlag(FLAGS_zone);
  Options.Sharded_ = absl::GetFlag(FLAGS_divided);
  Options.KeysInHeartbeats_ = absl::GetFlag(FLAGS_keys_in_heartbeats);
  Options.Slots_ = absl::GetFlag(FLAGS_slots);
  Options.ServiceTime_ =
      std::chrono::microseconds(absl::GetFlag(FLAGS_service_us));
  Options.RunsFile_ = absl::GetFlag(FLAGS_runs);
  return Options;
}

void runUpstream() {
  lagoonhitch::IoLoop Loop;
  const lagoonhitch::MonotonicClock Time;
  lagoonhitch::HttpClient Client(Loop, Time, lagoonhitch::HttpClientOptions());
  lagoonhitch::UpstreamStandin Upstream(Loop, Time, Client, upstreamOptions());
  lagoonhitch::HttpServer Server(
      Loop, serverOptions(),
      [&Upstream](const HttpRequest &Request,
                  const std::shared_ptr<HttpExchange> &Exchange) {
        Upstream.handle(Request, Exchange);
      });
  std::cout << Server.address() << std::endl;
  Loop.run();
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr int ExitUsage = 2;
  absl::SetProgramUsageMessage("standin store|upstream [flags]");
  const std::vector<char *> Arguments = absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Kind = Arguments.size() == 2 ? Arguments[1] : "";
  try {
    if (Kind == "store")
      runStore();
    else if (Kind == "upstream")
      runUpstream();
    else
      return ExitUsage;
  } catch (const lagoonhitch::Error &Exception) {
    std::cerr << Exception.what() << "\n";
    return 1;
  }
  return 0;
}
