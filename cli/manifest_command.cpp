#include "cli/manifest_command.h"

#include "cli/commands.h"
#include "core/error.h"
#include "manifest/manifest_check.h"
#include "manifest/manifest_difference.h"
#include "platform/platform_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <vector>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

std::string readFile(const std::string &Name) {
  std::ifstream Source(Name, std::ios::binary);
  if (!Source)
    throw Error(ErrorKind::Settings, "cannot read \"" + Name + "\"",
                "give the name of a readable file");
  return {std::istreambuf_iterator<char>(Source), {}};
}

/// Decodes a file in the same way as daemons decode a published manifest.
std::optional<Manifest> readManifest(const std::string &Name,
                                     std::string &Fault) {
  return decodeManifest(readFile(Name), &Fault);
}

bool isError(const ManifestFinding &Finding) {
  return Finding.Severity_ == ManifestFinding::Severity::Error;
}

const char *nameOf(ManifestDifference::Kind Kind) {
  switch (Kind) {
  case ManifestDifference::Kind::Added:
    return "added";
  case ManifestDifference::Kind::Removed:
    return "removed";
  case ManifestDifference::Kind::Changed:
    return "changed";
  }
  return "changed";
}

/// What the check has found.
struct CheckReport {
  std::vector<ManifestFinding> Findings_;
  std::vector<ManifestDifference> Differences_;
};

void printText(const CheckReport &Report, std::ostream &Out) {
  for (const ManifestFinding &Finding : Report.Findings_)
    Out << (isError(Finding) ? "error: " : "warning: ") << Finding.Place_
        << ": " << Finding.Message_ << "; " << Finding.Remedy_ << "\n";
  for (const ManifestDifference &Each : Report.Differences_) {
    Out << nameOf(Each.Kind_) << ": " << Each.Place_;
    if (Each.Kind_ == ManifestDifference::Kind::Changed)
      Out << ": " << Each.Before_ << " -> " << Each.After_;
    Out << "\n";
  }
  if (Report.Findings_.empty())
    Out << "the manifest is valid\n";
}

void printJson(const CheckReport &Report, std::ostream &Out) {
  Json Findings = Json::array();
  for (const ManifestFinding &Finding : Report.Findings_)
    Findings.push_back({{"severity", isError(Finding) ? "error" : "warning"},
                        {"place", Finding.Place_},
                        {"message", Finding.Message_},
                        {"remedy", Finding.Remedy_}});
  Json Differences = Json::array();
  for (const ManifestDifference &Each : Report.Differences_)
    Differences.push_back({{"kind", nameOf(Each.Kind_)},
                           {"place", Each.Place_},
                           {"before", Each.Before_},
                           {"after", Each.After_}});
  Out << Json({{"findings", Findings}, {"differences", Differences}}).dump()
      << "\n";
}

void compareWithVersionInForce(const std::string &File, const Manifest &Next,
                               CheckReport &Report) {
  std::string Fault;
  const std::optional<Manifest> InForce = readManifest(File, Fault);
  if (!InForce)
    throw Error(ErrorKind::Settings,
                "\"" + File + "\" is not a valid manifest: " + Fault,
                "give the version in force, as it was published");
  const std::vector<ManifestFinding> More = checkSuccession(*InForce, Next);
  Report.Findings_.insert(Report.Findings_.end(), More.begin(), More.end());
  Report.Differences_ = compareManifests(*InForce, Next);
}

} // namespace

int runManifestCheck(const ManifestCheckArguments &Arguments,
                     std::ostream &Out) {
  CheckReport Report;
  std::string Fault;
  const std::optional<Manifest> Checked = readManifest(Arguments.File_, Fault);
  if (Checked) {
    Report.Findings_ = checkManifest(*Checked);
    if (!Arguments.InForceFile_.empty())
      compareWithVersionInForce(Arguments.InForceFile_, *Checked, Report);
  } else {
    Report.Findings_.push_back({ManifestFinding::Severity::Error,
                                Arguments.File_, Fault,
                                "daemons would ignore it; correct the field"});
  }
  if (Arguments.Json_)
    printJson(Report, Out);
  else
    printText(Report, Out);
  return std::any_of(Report.Findings_.begin(), Report.Findings_.end(), isError)
             ? ExitFailed
             : ExitSuccess;
}

} // namespace lagoonhitch
