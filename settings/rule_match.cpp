#include "settings/rule_match.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Returns the value of a query parameter without percent-decoding it, or
/// std::nullopt if the parameter is missing.
std::optional<std::string> queryValue(std::string_view Target,
                                      std::string_view Name) {
  const std::size_t Question = Target.find('?');
  if (Question == std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = Target.substr(Question + 1);
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Field = Rest.substr(0, End);
    const std::size_t Equals = Field.find('=');
    if (Equals != std::string_view::npos && Field.substr(0, Equals) == Name)
      return std::string(Field.substr(Equals + 1));
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return std::nullopt;
}

} // namespace

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, std::min(Target.find_first_of("?#"), Target.size()));
}

std::vector<std::string_view> splitPath(std::string_view Path) {
  std::vector<std::string_view> Segments;
  while (!Path.empty()) {
    if (Path.front() == '/') {
      Path.remove_prefix(1);
      continue;
    }
    const std::size_t End = std::min(Path.find('/'), Path.size());
    Segments.push_back(Path.substr(0, End));
    Path.remove_prefix(End);
  }
  return Segments;
}

bool matchesPath(std::string_view Pattern, std::string_view Path) {
  const std::vector<std::string_view> Wanted = splitPath(Pattern);
  const std::vector<std::string_view> Given = splitPath(Path);
  for (std::size_t Index = 0; Index < Wanted.size(); ++Index) {
    if (Wanted[Index] == "**")
      return true;
    if (Index >= Given.size())
      return false;
    if (Wanted[Index] != "*" && Wanted[Index] != Given[Index])
      return false;
  }
  return Wanted.size() == Given.size();
}

bool patternsOverlap(std::string_view First, std::string_view Second) {
  const std::vector<std::string_view> A = splitPath(First);
  const std::vector<std::string_view> B = splitPath(Second);
  const std::size_t Shared = std::min(A.size(), B.size());
  for (std::size_t Index = 0; Index < Shared; ++Index) {
    if (A[Index] == "**" || B[Index] == "**")
      return true;
    if (A[Index] != "*" && B[Index] != "*" && A[Index] != B[Index])
      return false;
  }
  if (A.size() == B.size())
    return true;
  const std::vector<std::string_view> &Longer = A.size() > B.size() ? A : B;
  return Longer[Shared] == "**";
}

const ServiceSettings *findService(const std::vector<ServiceSettings> &Services,
                                   std::string_view Target) {
  const std::string_view Path = pathOf(Target);
  for (const ServiceSettings &Service : Services) {
    const std::string &Prefix = Service.Prefix_;
    if (!Path.starts_with(Prefix))
      continue;
    if (Path.size() == Prefix.size() || Path[Prefix.size()] == '/')
      return &Service;
  }
  return nullptr;
}

RequestRule findRule(const ServiceSettings &Service, std::string_view Method,
                     std::string_view Target) {
  const std::string_view Path = pathOf(Target);
  for (const RequestRule &Rule : Service.Rules_)
    if (Rule.Method_ == Method && matchesPath(Rule.Path_, Path))
      return Rule;
  return RequestRule();
}

std::optional<std::string> keyFromTarget(const ServiceSettings &Service,
                                         std::string_view Target) {
  if (Service.KeySource_ == KeySource::Query)
    return queryValue(Target, Service.KeyName_);
  if (Service.KeySource_ != KeySource::Path)
    return std::nullopt;
  const std::vector<std::string_view> Segments = splitPath(pathOf(Target));
  if (Service.KeySegment_ >= Segments.size())
    return std::nullopt;
  return std::string(Segments[Service.KeySegment_]);
}

} // namespace lagoonhitch
