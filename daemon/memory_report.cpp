#include "daemon/memory_report.h"

#include <absl/strings/str_cat.h>

namespace lagoonhitch {

namespace {

constexpr std::chrono::seconds MinEventInterval{1};
constexpr RequestRejection ScarceReasons[] = {
    RequestRejection::NoMemory, RequestRejection::TooManyConnections,
    RequestRejection::ResponseNotRead};

} // namespace

void addCounts(RejectionCounts &Sum, const RejectionCounts &Added) {
  for (std::size_t Index = 0; Index < Sum.size(); ++Index)
    Sum[Index] += Added[Index];
}

std::vector<NewRejections> newRejections(MemoryReport &Report,
                                         const RejectionCounts &Counts) {
  std::vector<NewRejections> Added;
  for (std::size_t Index = 0; Index < Counts.size(); ++Index)
    if (Counts[Index] > Report.Counted_[Index])
      Added.push_back({static_cast<RequestRejection>(Index),
                       Counts[Index] - Report.Counted_[Index]});
  Report.Counted_ = Counts;
  return Added;
}

std::string describeRejections(MemoryReport &Report, std::size_t HeldBytes,
                               Instant Now) {
  if (Now - Report.LoggedAt_ < MinEventInterval)
    return {};
  std::string Text;
  for (const RequestRejection Reason : ScarceReasons) {
    const std::size_t Index = static_cast<std::size_t>(Reason);
    if (Report.Counted_[Index] > Report.Logged_[Index])
      absl::StrAppend(&Text, rejectionName(Reason), " ",
                      Report.Counted_[Index] - Report.Logged_[Index], ", ");
  }
  if (Text.empty())
    return {};
  Report.Logged_ = Report.Counted_;
  Report.LoggedAt_ = Now;
  return absl::StrCat(Text, HeldBytes, " bytes held");
}

} // namespace lagoonhitch
