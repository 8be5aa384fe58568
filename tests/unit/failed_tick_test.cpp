/// \file
/// Tests that a call that throws does not end a daemon's handling of its keys.

#define BOOST_TEST_MODULE failed_tick
#include "daemon/ownership_manager.h"
#include "net/http_client.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"
#include "platform/platform_headers.h"
#include "store/store.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <stdexcept>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr const char *Service = "katalog";
/// Longer than the delay before a failed append is repeated.
constexpr milliseconds RetryTime{400};

/// Throws on the first calls, then acknowledges each.
class ThrowingStore : public Store {
public:
  explicit ThrowingStore(IoLoop &Loop) : Loop_(Loop) {}

  void append(const std::string &, const std::string &, const std::string &,
              std::optional<Offset> At, AppendDone Done) override {
    call(TableAppends_, At.value_or(0), Done);
  }
  void appendEpoch(const std::string &, std::uint64_t,
                   AppendDone Done) override {
    call(EpochAppends_, 0, Done);
  }
  ReadHandle read(const std::string &, Offset, milliseconds,
                  ReadDone) override {
    return nullptr;
  }
  std::size_t receivedBytes(const ReadHandle &) const override { return 0; }
  void readNewest(const std::string &, ReadDone) override {}

  int EpochAppends_ = 0;
  int TableAppends_ = 0;

private:
  void call(int &Count, Offset At, const AppendDone &Done) {
    if (++Count == 1)
      throw std::runtime_error("a row can't be encoded");
    AppendReply Reply;
    Reply.Kind_ = AppendReply::Kind::Done;
    Reply.Offset_ = At;
    Loop_.post([Done, Reply] { Done(Reply); });
  }

  IoLoop &Loop_;
};

/// A daemon that is about to restart its upstream's keys.
struct TickFixture {
  TickFixture()
      : Store_(Loop_), Client_(Loop_, Time_, HttpClientOptions()),
        Ownership_(Time_, Store_, Client_, Site_,
                   {"a", Service, "127.0.0.1:1", platformHeaders()},
                   KeyOwnershipOptions(),
                   {[] {}, [](const KeyTable &) {}, [](Offset) {},
                    [this](EventId Id, const std::string &) {
                      Failures_ += Id == EventId::HandlerFailed ? 1 : 0;
                    }}) {
    auto Known = std::make_shared<Manifest>();
    ServiceSpec Spec;
    Spec.Name_ = Service;
    Spec.Sharded_ = true;
    Known->Services_[Service] = Spec;
    Site_.Manifest_ = Known;
  }

  /// Reads a table that names an earlier epoch of this host.
  void readTable() {
    KeyTable Table;
    Table.Offset_ = 0;
    Table.Rows_ = {{{0, LastKey}, {"a", "u-a", 7, 3}, 1, ""}};
    Ownership_.onTable(Table, 1);
    Ownership_.onUpstreamChanged(
        {LocalUpstream::State::Serving, false, "u-a", 7});
  }

  void runFor(milliseconds Span) {
    const Instant End = Time_.now() + Span;
    while (Time_.now() < End) {
      Ownership_.tick();
      const std::shared_ptr<void> Pause =
          Loop_.after(milliseconds(20), [this] { Loop_.stop(); });
      Loop_.restart();
      Loop_.run();
    }
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  SiteState Site_;
  ThrowingStore Store_;
  HttpClient Client_;
  OwnershipManager Ownership_;
  int Failures_ = 0;
};

} // namespace

/// Review, case 4: one exception ended the grants, leases and moves of a
/// daemon.
BOOST_AUTO_TEST_CASE(CallThatThrowsIsRepeated) {
  TickFixture Fixture;
  BOOST_CHECK_NO_THROW(Fixture.readTable());
  Fixture.runFor(RetryTime);
  BOOST_TEST(Fixture.Store_.EpochAppends_ == 2);
  Fixture.runFor(RetryTime);
  BOOST_TEST(Fixture.Store_.TableAppends_ == 2);
  BOOST_TEST(Fixture.Failures_ == 2);
  BOOST_TEST((Fixture.Ownership_.state().Table_.Rows_[0].Owner_.Epoch_ == 4U));
}

} // namespace lagoonhitch
