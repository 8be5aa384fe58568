#include "membership/member_record.h"

#include "core/received_json.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

UpstreamState parseState(const std::string &Name) {
  if (Name == "ready")
    return UpstreamState::Ready;
  return Name == "draining" ? UpstreamState::Draining : UpstreamState::Lost;
}

Json encodeCrashes(const std::vector<UpstreamCrash> &Crashes) {
  Json List = Json::array();
  for (const UpstreamCrash &Crash : Crashes) {
    Json Requests = Json::array();
    for (const RequestFingerprint &Request : Crash.Requests_)
      Requests.push_back(toString(Request));
    List.push_back({{"upstream", Crash.Upstream_},
                    {"born", Crash.StartMillis_},
                    {"at", Crash.At_.count()},
                    {"requests", std::move(Requests)}});
  }
  return List;
}

/// Decodes a list of crashes; leaves out fingerprints that are malformed and
/// whatever exceeds the limits.
std::vector<UpstreamCrash> decodeCrashes(const Json &List) {
  constexpr std::size_t MaxCrashes = 16;
  constexpr std::size_t MaxRequests = 64;
  std::vector<UpstreamCrash> Crashes;
  for (const Json &Fields : List) {
    if (Crashes.size() == MaxCrashes)
      break;
    UpstreamCrash Crash;
    Fields.at("upstream").get_to(Crash.Upstream_);
    Crash.StartMillis_ = decodeUnixMillis(Fields.at("born"));
    Crash.At_ = std::chrono::milliseconds(decodeUnixMillis(Fields.at("at")));
    for (const Json &Text : Fields.at("requests")) {
      const std::optional<RequestFingerprint> Request =
          parseFingerprint(Text.get<std::string>());
      if (Request && Crash.Requests_.size() < MaxRequests)
        Crash.Requests_.push_back(*Request);
    }
    Crashes.push_back(std::move(Crash));
  }
  return Crashes;
}

/// Reads an address for other daemons; empty if the member states none. Throws
/// std::invalid_argument if the host is empty or the port is out of range.
std::string decodeAddress(const Json &Source) {
  std::string Address = Source.get<std::string>();
  if (Address.empty())
    return Address;
  const std::size_t Colon = Address.rfind(':');
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const bool HasHost = Colon != std::string::npos && Colon > 0;
  const bool Valid =
      HasHost &&
      std::from_chars(Address.data() + Colon + 1, End, Port).ptr == End &&
      Port > 0;
  if (!Valid)
    throw std::invalid_argument("a member's address is not valid");
  return Address;
}

} // namespace

const char *upstreamStateName(UpstreamState State) {
  switch (State) {
  case UpstreamState::Ready:
    return "ready";
  case UpstreamState::Draining:
    return "draining";
  case UpstreamState::Lost:
    return "lost";
  }
  return "lost";
}

std::string encodeMember(const MemberRecord &Record) {
  Json Fields = {{"host", Record.Host_},
                 {"zone", Record.Zone_},
                 {"service", Record.Service_},
                 {"peer", Record.PeerAddress_},
                 {"digest", Record.DigestAddress_},
                 {"upstream", Record.Upstream_},
                 {"born", Record.StartMillis_},
                 {"slots", Record.Slots_},
                 {"process", Record.Process_},
                 {"state", upstreamStateName(Record.State_)}};
  if (!Record.Crashes_.empty())
    Fields["crashes"] = encodeCrashes(Record.Crashes_);
  return dumpReplacingInvalid(Fields);
}

std::optional<MemberRecord> decodeMember(const std::string &Encoded) {
  try {
    const Json Fields = parseReceivedJson(Encoded);
    MemberRecord Record;
    Fields.at("host").get_to(Record.Host_);
    Fields.at("zone").get_to(Record.Zone_);
    Fields.at("service").get_to(Record.Service_);
    Record.PeerAddress_ = decodeAddress(Fields.at("peer"));
    Record.DigestAddress_ = decodeAddress(Fields.at("digest"));
    Fields.at("upstream").get_to(Record.Upstream_);
    Record.StartMillis_ = decodeUnixMillis(Fields.at("born"));
    Record.Slots_ = decodeUnsigned<std::uint32_t>(Fields.at("slots"));
    Record.Process_ = decodeUnsigned<std::uint64_t>(Fields.at("process"));
    Record.State_ = parseState(Fields.at("state").get<std::string>());
    Record.Crashes_ = decodeCrashes(Fields.value("crashes", Json::array()));
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace lagoonhitch
