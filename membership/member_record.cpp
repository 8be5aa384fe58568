#include "membership/member_record.h"

#include <nlohmann/json.hpp>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

UpstreamState parseState(const std::string &Name) {
  if (Name == "ready")
    return UpstreamState::Ready;
  return Name == "draining" ? UpstreamState::Draining : UpstreamState::Lost;
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
  const Json Fields = {{"host", Record.Host_},
                       {"zone", Record.Zone_},
                       {"service", Record.Service_},
                       {"peer", Record.PeerAddress_},
                       {"digest", Record.DigestAddress_},
                       {"upstream", Record.Upstream_},
                       {"born", Record.StartMillis_},
                       {"slots", Record.Slots_},
                       {"process", Record.Process_},
                       {"state", upstreamStateName(Record.State_)}};
  return Fields.dump();
}

std::optional<MemberRecord> decodeMember(const std::string &Encoded) {
  try {
    const Json Fields = Json::parse(Encoded);
    MemberRecord Record;
    Fields.at("host").get_to(Record.Host_);
    Fields.at("zone").get_to(Record.Zone_);
    Fields.at("service").get_to(Record.Service_);
    Fields.at("peer").get_to(Record.PeerAddress_);
    Fields.at("digest").get_to(Record.DigestAddress_);
    Fields.at("upstream").get_to(Record.Upstream_);
    Fields.at("born").get_to(Record.StartMillis_);
    Fields.at("slots").get_to(Record.Slots_);
    Fields.at("process").get_to(Record.Process_);
    Record.State_ = parseState(Fields.at("state").get<std::string>());
    return Record;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace lagoonhitch
