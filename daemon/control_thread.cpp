#include "daemon/control_thread.h"

#include "daemon/log_appender.h"
#include "net/control_codec.h"
#include "net/control_link.h"

#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::size_t RingSize = 4096;
constexpr std::chrono::milliseconds SilentLinkLimit{900};

} // namespace

ControlThread::ControlThread(const Clock &Time, ControlState Initial,
                             ControlLink &Link, LogAppender &Appender,
                             ControlOutputs Outputs)
    : Time_(Time), State_(std::move(Initial)), Link_(Link), Appender_(Appender),
      Outputs_(std::move(Outputs)), Ring_(RingSize), Thread_([this] { run(); }),
      Ticker_([this] { runTicker(); }) {}

ControlThread::~ControlThread() {
  Stopping_ = true;
  Ticker_.join();
  Ring_.push(Stop{});
  Thread_.join();
}

void ControlThread::message(LeaseMessage Message) {
  Ring_.tryPush(std::move(Message));
}

void ControlThread::logBatch(LogBatch Batch) { Ring_.push(std::move(Batch)); }

void ControlThread::slots(std::map<std::string, std::uint32_t> Slots) {
  Ring_.push(std::move(Slots));
}

void ControlThread::drained(ShardRef Ref) { Ring_.push(std::move(Ref)); }

void ControlThread::leave() { Ring_.push(Leave{}); }

void ControlThread::runTicker() {
  while (!Stopping_) {
    std::this_thread::sleep_for(State_.Options_.TickEvery_);
    Ring_.tryPush(Tick{});
  }
}

void ControlThread::run() {
  Event Incoming;
  while (true) {
    Ring_.pop(Incoming);
    if (std::holds_alternative<Stop>(Incoming))
      return;
    handle(Incoming);
  }
}

void ControlThread::handle(Event &Incoming) {
  const Instant Now = Time_.now();
  ControlActions Actions;
  if (std::holds_alternative<Tick>(Incoming)) {
    tick(State_, Now, Actions);
  } else if (LeaseMessage *Message = std::get_if<LeaseMessage>(&Incoming)) {
    PeerLinks_[Message->From_] = {Now, false};
    onMessage(State_, *Message, Now, Actions);
  } else if (LogBatch *Batch = std::get_if<LogBatch>(&Incoming)) {
    onLogBatch(State_, *Batch, Now, Actions);
  } else if (auto *Slots =
                 std::get_if<std::map<std::string, std::uint32_t>>(&Incoming)) {
    onSlots(State_, *Slots, Now, Actions);
  } else if (ShardRef *Ref = std::get_if<ShardRef>(&Incoming)) {
    onDrained(State_, *Ref, Now, Actions);
  } else if (std::holds_alternative<Leave>(Incoming)) {
    beginLeave(State_, Now, Actions);
  }
  Outputs_.LeaseUntil_(State_.LeaseUntil_);
  carryOut(Actions);
}

void ControlThread::carryOut(const ControlActions &Actions) {
  if (Actions.ViewChanged_) {
    std::erase_if(PeerLinks_, [this](const auto &Entry) {
      return State_.Addresses_.count(Entry.first) == 0;
    });
    Outputs_.View_(std::make_shared<const RoutingView>(makeView(State_)));
  }
  for (const LeaseMessage &Message : Actions.Messages_)
    send(Message);
  for (Record Entry : Actions.Appends_) {
    Entry.At_ = std::chrono::duration_cast<std::chrono::milliseconds>(
        Time_.wallNow().time_since_epoch());
    if (!Appender_.append(std::move(Entry)))
      Outputs_.Event_(EventId::RingFull, "append");
  }
  for (const auto &[Id, Details] : Actions.Events_)
    Outputs_.Event_(Id, Details);
  for (const auto &[At, Entry] : Actions.Effective_)
    Outputs_.Effective_(At, Entry);
  if (hasLeft(State_))
    Outputs_.Left_();
}

void ControlThread::send(const LeaseMessage &Message) {
  const std::map<MemberId, std::string>::const_iterator To =
      State_.Addresses_.find(Message.To_);
  if (To == State_.Addresses_.end())
    return;
  const Instant Now = Time_.now();
  PeerLink &Peer = PeerLinks_[Message.To_];
  if (!Peer.Waiting_) {
    Peer.Waiting_ = true;
    Peer.SentSince_ = Now;
  } else if (Now - Peer.SentSince_ > SilentLinkLimit) {
    Peer.SentSince_ = Now;
    Link_.reset(To->second);
  }
  Link_.send(To->second, encodeLeaseMessage(Message));
}

} // namespace lagoonhitch
