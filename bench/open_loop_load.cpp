#include "bench/open_loop_load.h"

#include "net/http_client.h"
#include "net/io_loop.h"

namespace lagoonhitch {

namespace {

/// Sends what is due every millisecond.
class Sender {
public:
  Sender(const Clock &Time, const OpenLoadOptions &Options)
      : Time_(Time), Options_(Options),
        Client_(Loop_, Time, HttpClientOptions()), Start_(Time.now()) {
    Total_ = static_cast<std::uint64_t>(Options.RatePerSecond_) *
             static_cast<std::uint64_t>(Options.Span_.count());
  }

  OpenLoadResult run() {
    Loop_.post([this] { sendDue(); });
    Loop_.run();
    return std::move(Result_);
  }

private:
  Instant intended(std::uint64_t Number) const {
    return Start_ + std::chrono::nanoseconds(1000000000ULL * Number /
                                             Options_.RatePerSecond_);
  }

  void sendDue() {
    constexpr std::chrono::microseconds Pause{500};
    const Instant Now = Time_.now();
    while (Sent_ < Total_ && intended(Sent_) <= Now)
      sendOne(intended(Sent_));
    if (Sent_ < Total_)
      Timer_ = Loop_.after(Pause, [this] { sendDue(); });
  }

  void sendOne(Instant Intended) {
    HttpRequest Request;
    Request.Target_ = Options_.Targets_[Sent_ % Options_.Targets_.size()];
    ++Sent_;
    Client_.send(Options_.Address_, std::move(Request), HttpCallOptions(),
                 [this, Intended](const HttpResult &Ended) {
                   if (Ended.Status_ == HttpCallStatus::Completed &&
                       Ended.Response_.Status_ == 200)
                     Result_.Latency_.add(Time_.now() - Intended);
                   else
                     ++Result_.Failed_;
                   if (++Done_ == Total_)
                     Loop_.stop();
                 });
  }

  const Clock &Time_;
  const OpenLoadOptions &Options_;
  IoLoop Loop_;
  HttpClient Client_;
  Instant Start_;
  std::uint64_t Total_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t Done_ = 0;
  std::shared_ptr<void> Timer_;
  OpenLoadResult Result_;
};

} // namespace

OpenLoadResult runOpenLoad(const Clock &Time, const OpenLoadOptions &Options) {
  return Sender(Time, Options).run();
}

} // namespace lagoonhitch
