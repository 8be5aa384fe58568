#include "ownership/record_json.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace lagoonhitch {

using Json = nlohmann::json;

void to_json(Json &Target, const SeatSet &Seats) {
  Target = {{"epoch", Seats.Epoch_},
            {"witnesses", Seats.Witnesses_},
            {"heir", Seats.Heir_}};
}

void from_json(const Json &Source, SeatSet &Seats) {
  Source.at("epoch").get_to(Seats.Epoch_);
  Source.at("witnesses").get_to(Seats.Witnesses_);
  Source.at("heir").get_to(Seats.Heir_);
}

void to_json(Json &Target, const Member &One) {
  Target = {{"id", One.Id_},
            {"host", One.Host_},
            {"zone", One.Zone_},
            {"nonce", One.Nonce_},
            {"peer", One.PeerAddress_},
            {"control", One.ControlAddress_},
            {"slots", One.Slots_},
            {"draining", One.Draining_},
            {"seats", One.Seats_},
            {"updates", One.UpdateSequence_}};
  if (One.OldSeats_)
    Target["old_seats"] = *One.OldSeats_;
}

void from_json(const Json &Source, Member &One) {
  Source.at("id").get_to(One.Id_);
  Source.at("host").get_to(One.Host_);
  Source.at("zone").get_to(One.Zone_);
  Source.at("nonce").get_to(One.Nonce_);
  Source.at("peer").get_to(One.PeerAddress_);
  Source.at("control").get_to(One.ControlAddress_);
  Source.at("slots").get_to(One.Slots_);
  Source.at("draining").get_to(One.Draining_);
  Source.at("seats").get_to(One.Seats_);
  Source.at("updates").get_to(One.UpdateSequence_);
  if (Source.contains("old_seats"))
    One.OldSeats_ = Source.at("old_seats").get<SeatSet>();
}

void to_json(Json &Target, const Shard &One) {
  Target = Json::array({One.Owner_, One.Token_, One.Target_});
}

void from_json(const Json &Source, Shard &One) {
  Source.at(0).get_to(One.Owner_);
  Source.at(1).get_to(One.Token_);
  Source.at(2).get_to(One.Target_);
}

void to_json(Json &Target, const ShardRef &Ref) {
  Target = Json::array({Ref.Service_, Ref.Shard_, Ref.Token_});
}

void from_json(const Json &Source, ShardRef &Ref) {
  Source.at(0).get_to(Ref.Service_);
  Source.at(1).get_to(Ref.Shard_);
  Source.at(2).get_to(Ref.Token_);
}

namespace {

Json encodeBody(const Record::Join &Body) { return {{"member", Body.Member_}}; }

void decodeBody(const Json &Source, Record::Join &Body) {
  Source.at("member").get_to(Body.Member_);
}

Json encodeBody(const Record::Update &Body) {
  return {{"member", Body.Member_},
          {"sequence", Body.Sequence_},
          {"slots", Body.Slots_},
          {"draining", Body.Draining_}};
}

void decodeBody(const Json &Source, Record::Update &Body) {
  Source.at("member").get_to(Body.Member_);
  Source.at("sequence").get_to(Body.Sequence_);
  Source.at("slots").get_to(Body.Slots_);
  Source.at("draining").get_to(Body.Draining_);
}

Json encodeBody(const Record::Plan &Body) {
  Json Defines = Json::array();
  for (const Record::Plan::Define &Define : Body.Defines_)
    Defines.push_back({Define.Service_, Define.ShardCount_});
  Json Moves = Json::array();
  for (const Record::Plan::Move &Move : Body.Moves_)
    Moves.push_back({Move.Service_, Move.Shard_, Move.Target_});
  Json Seats = Json::array();
  for (const Record::Plan::Seat &Seat : Body.Seats_)
    Seats.push_back({{"member", Seat.Member_}, {"seats", Seat.Seats_}});
  return {{"version", Body.PlanVersion_},
          {"defines", std::move(Defines)},
          {"moves", std::move(Moves)},
          {"seats", std::move(Seats)}};
}

void decodeBody(const Json &Source, Record::Plan &Body) {
  Source.at("version").get_to(Body.PlanVersion_);
  for (const Json &Define : Source.at("defines"))
    Body.Defines_.push_back({Define.at(0), Define.at(1)});
  for (const Json &Move : Source.at("moves"))
    Body.Moves_.push_back({Move.at(0), Move.at(1), Move.at(2)});
  for (const Json &Seat : Source.at("seats"))
    Body.Seats_.push_back({Seat.at("member"), Seat.at("seats").get<SeatSet>()});
}

Json encodeBody(const Record::Release &Body) {
  return {{"owner", Body.Owner_}, {"shards", Body.Shards_}};
}

void decodeBody(const Json &Source, Record::Release &Body) {
  Source.at("owner").get_to(Body.Owner_);
  Source.at("shards").get_to(Body.Shards_);
}

Json encodeBody(const Record::SeatDone &Body) {
  return {{"member", Body.Member_}, {"epoch", Body.Epoch_}};
}

void decodeBody(const Json &Source, Record::SeatDone &Body) {
  Source.at("member").get_to(Body.Member_);
  Source.at("epoch").get_to(Body.Epoch_);
}

Json encodeBody(const Record::TakeOver &Body) {
  return {{"victim", Body.Victim_},
          {"successor", Body.Successor_},
          {"token_step", Body.TokenStep_},
          {"released", Body.Released_}};
}

void decodeBody(const Json &Source, Record::TakeOver &Body) {
  Source.at("victim").get_to(Body.Victim_);
  Source.at("successor").get_to(Body.Successor_);
  Source.at("token_step").get_to(Body.TokenStep_);
  Source.at("released").get_to(Body.Released_);
}

Json encodeBody(const Record::Leave &Body) {
  return {{"member", Body.Member_},
          {"epoch", Body.Epoch_},
          {"released", Body.Released_}};
}

void decodeBody(const Json &Source, Record::Leave &Body) {
  Source.at("member").get_to(Body.Member_);
  Source.at("epoch").get_to(Body.Epoch_);
  Source.at("released").get_to(Body.Released_);
}

Json encodeBody(const Record::Evict &Body) {
  return {{"member", Body.Member_}};
}

void decodeBody(const Json &Source, Record::Evict &Body) {
  Source.at("member").get_to(Body.Member_);
}

Json encodeBody(const Record::Checkpoint &Body) {
  Json Members = Json::array();
  for (const auto &[Id, One] : Body.Table_.Members_)
    Members.push_back(One);
  return {{"next", Body.Table_.Next_},
          {"version", Body.Table_.PlanVersion_},
          {"members", std::move(Members)},
          {"services", Body.Table_.Services_}};
}

void decodeBody(const Json &Source, Record::Checkpoint &Body) {
  Source.at("next").get_to(Body.Table_.Next_);
  Source.at("version").get_to(Body.Table_.PlanVersion_);
  for (const Json &Entry : Source.at("members")) {
    Member One = Entry.get<Member>();
    const MemberId Id = One.Id_;
    Body.Table_.Members_.emplace(Id, std::move(One));
  }
  Source.at("services").get_to(Body.Table_.Services_);
}

/// Decodes the alternative of the variant whose kind has that name.
template <std::size_t Index = 0>
void decodeKind(const std::string &Kind, const Json &Source, Record &Target) {
  if constexpr (Index == std::variant_size_v<Record::Body>) {
    throw Error(ErrorKind::Protocol, "unknown record kind \"" + Kind + "\"",
                "run the same release on every daemon of the site");
  } else {
    Target.Body_.emplace<Index>();
    if (Kind == recordKind(Target))
      decodeBody(Source, std::get<Index>(Target.Body_));
    else
      decodeKind<Index + 1>(Kind, Source, Target);
  }
}

} // namespace

std::string encodeRecord(const Record &Entry) {
  Json Target = {{"id", Entry.Id_},
                 {"by", Entry.By_},
                 {"at_ms", Entry.At_.count()},
                 {"why", Entry.Why_},
                 {"kind", recordKind(Entry)}};
  Target["body"] = std::visit([](const auto &Body) { return encodeBody(Body); },
                              Entry.Body_);
  return Target.dump();
}

Record decodeRecord(const std::string &Text) {
  try {
    const Json Source = Json::parse(Text);
    Record Entry;
    Source.at("id").get_to(Entry.Id_);
    Source.at("by").get_to(Entry.By_);
    Source.at("why").get_to(Entry.Why_);
    Entry.At_ =
        std::chrono::milliseconds(Source.at("at_ms").get<std::int64_t>());
    decodeKind(Source.at("kind").get<std::string>(), Source.at("body"), Entry);
    return Entry;
  } catch (const Json::exception &Failure) {
    throw Error(ErrorKind::Protocol,
                std::string("malformed record: ") + Failure.what(),
                "check which program writes to the ownership stream");
  }
}

} // namespace lagoonhitch
