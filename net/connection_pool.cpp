#include "net/connection_pool.h"

#include "net/http_client.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

/// Time between two checks of an idle connection for unexpected data. Each
/// check is a system call.
constexpr std::chrono::milliseconds IdleCheckInterval{500};

/// Returns whether the peer has neither closed an idle connection nor sent
/// unexpected data on it. Counts it as lost if the peer has closed it.
bool isOpenAndQuiet(ClientConnection &Idle, ConnectionPool &Target) {
  char Byte = 0;
  error_code Failure;
  Idle.Stream_.socket().non_blocking(true, Failure);
  Idle.Stream_.socket().receive(boost::asio::buffer(&Byte, 1),
                                tcp::socket::message_peek, Failure);
  const bool Quiet = Failure == boost::asio::error::would_block;
  if (Failure && !Quiet)
    ++Target.Lost_;
  return Quiet;
}

/// Checks an idle connection if its last check was some time ago. Returns
/// whether it can be kept.
bool passesIdleCheck(ClientConnection &Idle, ConnectionPool &Target,
                     Instant Now) {
  if (Now - Idle.CheckedAt_ < IdleCheckInterval)
    return true;
  Idle.CheckedAt_ = Now;
  return isOpenAndQuiet(Idle, Target);
}

/// Returns whether a request may be sent on a connection that has carried
/// others.
bool canCarry(const ClientConnection &Used, const std::string &RequestId) {
  const std::vector<std::size_t> &Failed = Used.FailedRequests_;
  return RequestId.empty() ||
         std::find(Failed.begin(), Failed.end(),
                   std::hash<std::string>()(RequestId)) == Failed.end();
}

bool isRecent(const ClientConnection &Idle, const ConnectionChoice &Choice,
              Instant Now) {
  return Now - Idle.IdleSince_ < Choice.MaxIdleTime_ &&
         Now - Idle.OpenedAt_ < Choice.MaxAge_;
}

} // namespace

ConnectionPool &poolOf(ConnectionPools &Pools, const std::string &Address,
                       const HttpClientOptions &Options) {
  ConnectionPool &Found = Pools[Address];
  if (Found.Limit_ == 0)
    Found.Limit_ = Options.MaxConnections_;
  return Found;
}

std::unique_ptr<ClientConnection>
takeIdle(ConnectionPool &Pool, const ConnectionChoice &Choice, Instant Now) {
  std::size_t Left = Pool.Idle_.size();
  while (Left > 0) {
    const auto Latest =
        Pool.Idle_.begin() + static_cast<std::ptrdiff_t>(--Left);
    if (!canCarry(**Latest, Choice.RequestId_))
      continue;
    std::unique_ptr<ClientConnection> Candidate = std::move(*Latest);
    Pool.Idle_.erase(Latest);
    if (isRecent(*Candidate, Choice, Now) && isOpenAndQuiet(*Candidate, Pool))
      return Candidate;
    --Pool.Open_;
  }
  return nullptr;
}

void makeRoom(ConnectionPool &Pool) {
  if (Pool.Open_ < Pool.Limit_ || Pool.Idle_.empty())
    return;
  Pool.Idle_.erase(Pool.Idle_.begin());
  --Pool.Open_;
}

void reapIdleConnections(ConnectionPool &Pool, Duration MaxIdleTime,
                         Instant Now) {
  Pool.Open_ -= std::erase_if(
      Pool.Idle_, [&](const std::unique_ptr<ClientConnection> &Idle) {
        return Now - Idle->IdleSince_ >= MaxIdleTime ||
               !passesIdleCheck(*Idle, Pool, Now);
      });
}

void closeEndedConnections(ConnectionPool &Pool) {
  Pool.Open_ -= std::erase_if(
      Pool.Idle_, [&Pool](const std::unique_ptr<ClientConnection> &Idle) {
        return !isOpenAndQuiet(*Idle, Pool);
      });
}

} // namespace lagoonhitch
