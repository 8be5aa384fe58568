#include "membership/upstream_incarnation.h"

namespace lagoonhitch {

namespace {

bool isOtherLife(const UpstreamLife &Life, const Announcement &Heard) {
  return Life.Last_.Upstream_ != Heard.Upstream_ ||
         Life.Last_.Born_ != Heard.Born_;
}

/// A later life has a later start; where the start is not told, any other name
/// is a later life.
bool isEarlier(const UpstreamLife &Life, const Announcement &Heard) {
  return Heard.Born_ != 0 && Heard.Born_ < Life.Last_.Born_;
}

} // namespace

AnnouncementResult takeAnnouncement(std::optional<UpstreamLife> &Life,
                                    const Announcement &Heard,
                                    const std::string &Service,
                                    const std::string &Address, Instant Now) {
  if (Heard.Service_ != Service || Heard.Address_ != Address)
    return AnnouncementResult::Foreign;
  if (Life && isEarlier(*Life, Heard))
    return AnnouncementResult::Stale;
  if (!Life || isOtherLife(*Life, Heard)) {
    Life = UpstreamLife();
    Life->Last_ = Heard;
    Life->HeardAt_ = Now;
    Life->Leaving_ = Heard.Draining_;
    return AnnouncementResult::Taken;
  }
  if (Heard.Sequence_ <= Life->Last_.Sequence_)
    return AnnouncementResult::Stale;
  Life->Last_ = Heard;
  Life->HeardAt_ = Now;
  Life->Silent_ = false;
  Life->Ended_ = false;
  Life->Leaving_ = Life->Leaving_ || Heard.Draining_;
  return AnnouncementResult::Taken;
}

bool takeFarewell(std::optional<UpstreamLife> &Life,
                  const std::string &Upstream) {
  if (!Life || Life->Last_.Upstream_ != Upstream)
    return false;
  Life->Leaving_ = true;
  return true;
}

bool leftBefore(const std::optional<EarlyFarewell> &Farewell,
                const Announcement &Heard) {
  return Farewell && Farewell->Upstream_ == Heard.Upstream_ &&
         Heard.Born_ <= Farewell->At_.count();
}

LocalUpstream ownUpstream(const std::optional<UpstreamLife> &Life) {
  LocalUpstream Known;
  if (!Life)
    return Known;
  Known.Id_ = Life->Last_.Upstream_;
  Known.StartMillis_ = Life->Last_.Born_;
  Known.Terminated_ = Life->Ended_;
  if (Life->Ended_ || Life->Silent_)
    Known.State_ = LocalUpstream::State::Lost;
  else if (Life->Leaving_)
    Known.State_ = LocalUpstream::State::Draining;
  else
    Known.State_ = LocalUpstream::State::Serving;
  return Known;
}

bool takesRequests(const std::optional<UpstreamLife> &Life) {
  return Life && !Life->Leaving_ && !Life->Ended_ && !Life->Silent_;
}

} // namespace lagoonhitch
