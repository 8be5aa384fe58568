#ifndef LAGOONHITCH_NET_MESSAGE_BODY_H
#define LAGOONHITCH_NET_MESSAGE_BODY_H

/// \file
/// The body of a request, which all its copies share.

#include "net/memory_budget.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonhitch {

/// An immutable request body. Copies share the bytes, so that a body is in
/// memory once while a request is queued, forwarded, sent and kept for another
/// attempt. An empty body needs no memory.
class MessageBody {
public:
  MessageBody() = default;

  /// Takes over the bytes.
  MessageBody(std::string Bytes) : MessageBody(std::move(Bytes), nullptr) {}

  MessageBody(const char *Text) : MessageBody(std::string(Text)) {}

  /// Takes over the bytes and counts them in a budget while they exist.
  MessageBody(std::string Bytes, std::shared_ptr<MemoryBudget> Budget) {
    if (!Bytes.empty())
      Content_ =
          std::make_shared<const Content>(std::move(Bytes), std::move(Budget));
  }

  /// Returns the bytes, which exist as long as any copy of the body.
  const std::string &text() const {
    static const std::string Empty;
    return Content_ ? Content_->Bytes_ : Empty;
  }

  operator const std::string &() const { return text(); }

  std::size_t size() const { return Content_ ? Content_->Bytes_.size() : 0; }
  bool empty() const { return !Content_; }

  friend bool operator==(const MessageBody &Body, std::string_view Text) {
    return Body.text() == Text;
  }

  friend std::ostream &operator<<(std::ostream &Out, const MessageBody &Body) {
    return Out << Body.text();
  }

private:
  struct Content {
    Content(std::string Bytes, std::shared_ptr<MemoryBudget> Budget)
        : Bytes_(std::move(Bytes)) {
      if (Budget)
        Hold_.emplace(std::move(Budget), Bytes_.size());
    }

    std::string Bytes_;
    std::optional<BudgetHold> Hold_;
  };

  std::shared_ptr<const Content> Content_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_MESSAGE_BODY_H
