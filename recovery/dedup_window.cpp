#include "recovery/dedup_window.h"

#include <charconv>

namespace lagoonhitch {

namespace {

/// Maximum assumed difference between a caller's clock and this host's clock.
constexpr std::chrono::milliseconds CallerClockSkew{2000};

void dropExpired(DedupWindow &Window, Instant Now) {
  while (!Window.Expiries_.empty() && Window.Expiries_.front().first <= Now) {
    Window.Entries_.erase(Window.Expiries_.front().second);
    Window.Expiries_.pop_front();
  }
}

/// Returns whether the previous owner of the shard can't have run a request
/// with this key. Only then may the request run without the risk of a
/// duplicate.
bool isProvablyNew(const DedupClaim &Claim, const ShardHistory &History,
                   const DedupOptions &Options, Instant Now) {
  if (!History.HadPreviousOwner_ ||
      Now - History.OwnedSince_ >= Options.Window_)
    return true;
  if (Claim.Attempt_)
    return *Claim.Attempt_ == 1;
  return Claim.CreatedAt_ &&
         *Claim.CreatedAt_ > History.OwnedSinceWall_ + CallerClockSkew;
}

} // namespace

DedupDecision claimIdempotencyKey(DedupWindow &Window, const DedupClaim &Claim,
                                  const ShardHistory &History,
                                  const RequestId &Id,
                                  const DedupOptions &Options, Instant Now) {
  dropExpired(Window, Now);
  const auto Found = Window.Entries_.find(Claim.Key_);
  if (Found != Window.Entries_.end())
    return Found->second.Answer_ ? DedupDecision::Replay : DedupDecision::Wait;
  if (!isProvablyNew(Claim, History, Options, Now))
    return DedupDecision::Uncertain;
  if (Window.Entries_.size() >= Options.MaxEntries_)
    return DedupDecision::Full;
  Window.Entries_[Claim.Key_].AttemptId_ = Id;
  return DedupDecision::Run;
}

void finishIdempotencyKey(DedupWindow &Window, const std::string &Key,
                          const RequestId &Id, const AnswerPtr &Result,
                          const DedupOptions &Options, Instant Now) {
  const auto Found = Window.Entries_.find(Key);
  if (Found == Window.Entries_.end() || Found->second.AttemptId_ != Id)
    return;
  if (Result->Outcome_ == Outcome::NotRun) {
    Window.Entries_.erase(Found);
    return;
  }
  Found->second.Answer_ = Result;
  Window.Expiries_.emplace_back(Now + Options.Window_, Key);
}

const DedupWindow::Entry *findIdempotencyKey(const DedupWindow &Window,
                                             const std::string &Key) {
  const auto Found = Window.Entries_.find(Key);
  return Found == Window.Entries_.end() ? nullptr : &Found->second;
}

std::optional<std::chrono::system_clock::time_point>
timeOfUuid7(const std::string &Text) {
  constexpr std::size_t UuidLength = 36;
  constexpr std::size_t VersionAt = 14;
  if (Text.size() != UuidLength || Text[8] != '-' || Text[VersionAt] != '7')
    return std::nullopt;
  const std::string Hex = Text.substr(0, 8) + Text.substr(9, 4);
  std::uint64_t Millis = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Hex.data(), Hex.data() + Hex.size(), Millis, 16);
  if (Parsed.ec != std::errc() || Parsed.ptr != Hex.data() + Hex.size())
    return std::nullopt;
  return std::chrono::system_clock::time_point(
      std::chrono::milliseconds(Millis));
}

} // namespace lagoonhitch
