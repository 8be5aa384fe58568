#include "bench/open_loop_load.h"

#include "net/http_client.h"
#include "net/io_loop.h"

namespace lagoonhitch {

namespace {

/// Sends the requests that are due, every half millisecond.
class Sender {
public:
  Sender(const Clock &Time, const OpenLoopLoadOptions &Options)
      : Time_(Time), Options_(Options),
        Client_(Loop_, Time, HttpClientOptions()), Start_(Time.now()) {
    Total_ = static_cast<std::uint64_t>(Options.RatePerSecond_) *
             static_cast<std::uint64_t>(Options.Duration_.count());
  }

  OpenLoopLoadResult run() {
    Loop_.post([this] { sendDue(); });
    Loop_.run();
    return std::move(Result_);
  }

private:
  Instant scheduledStart(std::uint64_t Number) const {
    return Start_ + std::chrono::nanoseconds(1000000000ULL * Number /
                                             Options_.RatePerSecond_);
  }

  void sendDue() {
    constexpr std::chrono::microseconds PollInterval{500};
    const Instant Now = Time_.now();
    while (Sent_ < Total_ && scheduledStart(Sent_) <= Now)
      sendOne(scheduledStart(Sent_));
    if (Sent_ < Total_)
      Timer_ = Loop_.after(PollInterval, [this] { sendDue(); });
  }

  void sendOne(Instant ScheduledAt) {
    HttpRequest Request;
    Request.Target_ = Options_.Targets_[Sent_ % Options_.Targets_.size()];
    ++Sent_;
    Client_.send(Options_.Address_, std::move(Request), HttpCallOptions(),
                 [this, ScheduledAt](const HttpResult &Result) {
                   if (Result.Status_ == HttpCallStatus::Completed &&
                       Result.Response_.Status_ == 200)
                     Result_.Latency_.add(Time_.now() - ScheduledAt);
                   else
                     ++Result_.Failed_;
                   if (++Done_ == Total_)
                     Loop_.stop();
                 });
  }

  const Clock &Time_;
  const OpenLoopLoadOptions &Options_;
  IoLoop Loop_;
  HttpClient Client_;
  Instant Start_;
  std::uint64_t Total_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t Done_ = 0;
  std::shared_ptr<void> Timer_;
  OpenLoopLoadResult Result_;
};

} // namespace

OpenLoopLoadResult runOpenLoopLoad(const Clock &Time,
                                   const OpenLoopLoadOptions &Options) {
  return Sender(Time, Options).run();
}

} // namespace lagoonhitch
