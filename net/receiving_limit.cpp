#include "net/receiving_limit.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

ReceivingLimit::ReceivingLimit(std::size_t MaxBytes, std::size_t SmallBytes)
    : MaxBytes_(MaxBytes), SmallBytes_(SmallBytes) {}

void ReceivingLimit::update(IncompleteResponse &Response, std::size_t Bytes,
                            std::size_t Left) {
  const bool Shrinks = Bytes < Response.Bytes_;
  Bytes_ = Bytes_ - Response.Bytes_ + Bytes;
  Response.Bytes_ = Bytes;
  Response.Left_ = Left;
  if (isLarge(Response)) {
    Large_.insert(&Response);
  } else {
    Large_.erase(&Response);
    Response.Resume_ = nullptr;
  }
  if (Shrinks)
    resumeOthers();
}

void ReceivingLimit::pause(IncompleteResponse &Response,
                           std::function<void()> Resume) {
  Response.Resume_ = std::move(Resume);
  resumeOthers();
}

bool ReceivingLimit::mayReadOn(const IncompleteResponse &Response) const {
  if (!isLarge(Response))
    return true;
  const IncompleteResponse *Nearest = nearestToEnd();
  return Nearest == &Response ||
         Bytes_ + Nearest->Left_ + Response.Left_ <= MaxBytes_;
}

bool ReceivingLimit::mustDrop(const IncompleteResponse &Response) const {
  return Bytes_ > MaxBytes_ && nearestToEnd() == &Response;
}

bool ReceivingLimit::isLarge(const IncompleteResponse &Response) const {
  return Response.Bytes_ > SmallBytes_;
}

const IncompleteResponse *ReceivingLimit::nearestToEnd() const {
  const auto Nearest = std::min_element(Large_.begin(), Large_.end(),
                                        [](const auto *One, const auto *Other) {
                                          return One->Left_ < Other->Left_;
                                        });
  return Nearest == Large_.end() ? nullptr : *Nearest;
}

void ReceivingLimit::resumeOthers() {
  for (IncompleteResponse *Response : Large_)
    if (Response->Resume_ && mayReadOn(*Response))
      std::exchange(Response->Resume_, nullptr)();
}

} // namespace lagoonhitch
