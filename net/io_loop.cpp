#include "net/io_loop.h"

#include "net/io_loop_impl.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace lagoonhitch {

IoLoop::IoLoop(ErrorHandler OnError)
    : OnError_(std::move(OnError)), Impl_(std::make_unique<Impl>()) {}

IoLoop::~IoLoop() = default;

void IoLoop::run() {
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard = boost::asio::make_work_guard(Impl_->Context_);
  while (!Impl_->Context_.stopped()) {
    try {
      Impl_->Context_.run();
    } catch (const std::exception &Failure) {
      if (!OnError_)
        throw;
      OnError_(Failure);
    }
  }
}

void IoLoop::runUntilIdle() {
  Impl_->Context_.restart();
  Impl_->Context_.run();
}

void IoLoop::stop() { Impl_->Context_.stop(); }

void IoLoop::restart() { Impl_->Context_.restart(); }

void IoLoop::post(std::function<void()> Task) {
  boost::asio::post(Impl_->Context_, std::move(Task));
}

std::shared_ptr<void> IoLoop::after(Duration Delay,
                                    std::function<void()> Task) {
  std::shared_ptr<boost::asio::steady_timer> Timer =
      std::make_shared<boost::asio::steady_timer>(Impl_->Context_, Delay);
  std::weak_ptr<boost::asio::steady_timer> Alive = Timer;
  Timer->async_wait([Alive, Task = std::move(Task)](
                        const boost::system::error_code &Failure) {
    if (Failure || Alive.expired())
      return;
    Task();
  });
  return Timer;
}

} // namespace lagoonhitch
