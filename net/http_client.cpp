#include "net/http_client.h"

#include "net/connection_pool.h"
#include "net/http_call.h"
#include "net/http_client_impl.h"

#include <memory>
#include <string>
#include <utility>

namespace lagoonhitch {

HttpClient::HttpClient(IoLoop &Loop, const Clock &Time,
                       HttpClientOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, Time, Options)) {}

HttpClient::~HttpClient() { Impl_->Pools_.clear(); }

std::shared_ptr<void> HttpClient::send(const std::string &Address,
                                       HttpRequest Request,
                                       HttpCallOptions Options, Callback Done) {
  std::shared_ptr<HttpCall> Started = std::make_shared<HttpCall>(
      Impl_, Address, std::move(Request), std::move(Options), std::move(Done));
  Started->start();
  return Started;
}

void HttpClient::cancel(const std::shared_ptr<void> &Handle) {
  if (Handle)
    std::static_pointer_cast<HttpCall>(Handle)->cancel();
}

std::size_t HttpClient::receivedBytes(const std::shared_ptr<void> &Handle) {
  return Handle ? std::static_pointer_cast<HttpCall>(Handle)->receivedBytes()
                : 0;
}

void HttpClient::setMaxConnections(const std::string &Address,
                                   std::size_t Limit) {
  Impl_->pool(Address).Limit_ = Limit;
}

void HttpClient::reapIdle() {
  for (auto &[Address, Pool] : Impl_->Pools_)
    reapIdleConnections(Pool, Impl_->Options_.MaxIdleTime_, Impl_->Time_.now());
}

void HttpClient::closeEnded(const std::string &Address) {
  closeEndedConnections(Impl_->pool(Address));
}

std::size_t HttpClient::lostConnections(const std::string &Address) const {
  const auto Found = Impl_->Pools_.find(Address);
  return Found == Impl_->Pools_.end() ? 0 : Found->second.Lost_;
}

void HttpClient::closeIdle(const std::string &Address) {
  ConnectionPool &Target = Impl_->pool(Address);
  Target.Open_ -= Target.Idle_.size();
  Target.Idle_.clear();
}

std::size_t HttpClient::openConnections(const std::string &Address) const {
  const auto Found = Impl_->Pools_.find(Address);
  return Found == Impl_->Pools_.end() ? 0 : Found->second.Open_;
}

std::size_t HttpClient::receivingBytes() const {
  return Impl_->Receiving_.bytes();
}

} // namespace lagoonhitch
