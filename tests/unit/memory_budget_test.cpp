/// \file
/// Tests which messages fit into the memory of a daemon, and which give way.

#define BOOST_TEST_MODULE memory_budget
#include "net/memory_budget.h"
#include "net/message_body.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{};
constexpr milliseconds Stalled{1000};

MemoryBudgetOptions options() {
  MemoryBudgetOptions Options;
  Options.MaxBytes_ = 1000;
  Options.SmallReserve_ = 200;
  Options.SmallBytes_ = 50;
  Options.StallTime_ = Stalled;
  return Options;
}

/// An incomplete message.
struct Upload {
  Upload() {
    Entry_.GiveWay_ = [this] { Dropped_ = true; };
  }
  Upload(const Upload &) = delete;
  Upload &operator=(const Upload &) = delete;

  bool Dropped_ = false;
  BudgetEntry Entry_;
};

} // namespace

/// A few long bodies used up the memory of a machine.
BOOST_AUTO_TEST_CASE(LargeBodiesBeyondTheBudgetDoNotFit) {
  MemoryBudget Budget(options());
  Upload First;
  Upload Second;
  BOOST_TEST(Budget.tryResize(First.Entry_, 500, Start));
  BOOST_TEST(!Budget.tryResize(Second.Entry_, 301, Start));
  BOOST_TEST(!First.Dropped_);
  BOOST_TEST(Budget.tryResize(Second.Entry_, 300, Start));
  BOOST_TEST(Budget.bytes() == 800U);
}

/// Ordinary callers are served while large bodies use up their part.
BOOST_AUTO_TEST_CASE(SmallMessagesHaveAReserve) {
  MemoryBudget Budget(options());
  Upload Large;
  std::array<Upload, 5> Small;
  BOOST_TEST(Budget.tryResize(Large.Entry_, 800, Start));
  for (std::size_t Index = 0; Index < 4; ++Index)
    BOOST_TEST(Budget.tryResize(Small[Index].Entry_, 50, Start));
  BOOST_TEST(!Budget.tryResize(Small[4].Entry_, 50, Start));
}

/// Clients that stop before the end of their bodies would keep others out
/// until the timeout of their requests.
BOOST_AUTO_TEST_CASE(LargestBodyWithoutProgressGivesWay) {
  MemoryBudget Budget(options());
  Upload Moving;
  Upload Larger;
  Upload Smaller;
  Upload Next;
  BOOST_TEST(Budget.tryResize(Larger.Entry_, 300, Start));
  BOOST_TEST(Budget.tryResize(Smaller.Entry_, 100, Start));
  BOOST_TEST(Budget.tryResize(Moving.Entry_, 400, Start + milliseconds(1)));
  BOOST_TEST(!Budget.tryResize(Next.Entry_, 100, Start + milliseconds(999)));
  BOOST_TEST(Budget.tryResize(Next.Entry_, 100, Start + Stalled));
  BOOST_TEST(Larger.Dropped_);
  BOOST_TEST(!Smaller.Dropped_);
  BOOST_TEST(!Moving.Dropped_);
  BOOST_TEST(Budget.bytes() == 600U);
}

/// A body that can't be taken anyway must not end those of others.
BOOST_AUTO_TEST_CASE(NoBodyGivesWayToOneThatDoesNotFitThen) {
  MemoryBudget Budget(options());
  Upload Waiting;
  Upload Next;
  const BudgetHold Complete(
      std::shared_ptr<MemoryBudget>(&Budget, [](MemoryBudget *) {}), 500);
  BOOST_TEST(Budget.tryResize(Waiting.Entry_, 300, Start));
  BOOST_TEST(!Budget.tryResize(Next.Entry_, 301, Start + Stalled));
  BOOST_TEST(!Waiting.Dropped_);
}

/// A request that is queued or running keeps its body.
BOOST_AUTO_TEST_CASE(CompleteBodiesNeverGiveWay) {
  const auto Budget = std::make_shared<MemoryBudget>(options());
  {
    const MessageBody Body(std::string(900, 'a'), Budget);
    const std::vector<MessageBody> Copies(2, Body);
    for (const MessageBody &Copy : Copies)
      BOOST_TEST(Copy.text().data() == Body.text().data());
    BOOST_TEST(Budget->bytes() == 900U);
    Upload Next;
    BOOST_TEST(!Budget->tryResize(Next.Entry_, 200, Start + 10 * Stalled));
  }
  BOOST_TEST(Budget->bytes() == 0U);
}

/// Responses are in memory when they are counted, and clients that read slowly
/// would keep any number of them there.
BOOST_AUTO_TEST_CASE(ResponsesWithoutProgressGiveWayAboveTheBudget) {
  MemoryBudget Budget(options());
  std::array<Upload, 3> Sent;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Sent[Index].Entry_.ProgressAt_ =
        Start + milliseconds(static_cast<int>(Index));
    Budget.resize(Sent[Index].Entry_, 400);
  }
  BOOST_TEST(Budget.isExceeded());
  Budget.enforce(Start + milliseconds(10));
  BOOST_TEST(Sent[0].Dropped_);
  BOOST_TEST(!Sent[1].Dropped_);
  BOOST_TEST(!Sent[2].Dropped_);
  BOOST_TEST(Budget.bytes() == 800U);
}

/// Errors in the sums would let bodies in without end, or none at all.
RC_BOOST_PROP(SumsMatchTheMessages, ()) {
  MemoryBudget Budget(options());
  std::array<Upload, 6> Uploads;
  Instant Now = Start;
  const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 500)));
  for (const auto &[Index, Bytes] : Steps) {
    Now += milliseconds(Bytes);
    Upload &Changed = Uploads[static_cast<std::size_t>(Index)];
    if (!Changed.Entry_.GiveWay_)
      Changed.Entry_.GiveWay_ = [&Changed] { Changed.Dropped_ = true; };
    if (Bytes % 7 == 0)
      Budget.resize(Changed.Entry_, 0);
    else
      Budget.tryResize(Changed.Entry_, static_cast<std::size_t>(Bytes), Now);
    std::size_t Sum = 0;
    std::size_t Large = 0;
    for (const Upload &Each : Uploads) {
      Sum += Each.Entry_.Bytes_;
      Large += Each.Entry_.Bytes_ > 50 ? Each.Entry_.Bytes_ : 0;
    }
    RC_ASSERT(Budget.bytes() == Sum);
    RC_ASSERT(Sum <= 1000U);
    RC_ASSERT(Large <= 800U);
  }
}

} // namespace lagoonhitch
