#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace lagoonhitch {

namespace {

bool equalsIgnoringCase(const std::string &Left, const std::string &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

} // namespace

const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              const std::string &Name) {
  for (const HttpHeader &Header : Headers)
    if (equalsIgnoringCase(Header.Name_, Name))
      return &Header.Value_;
  return nullptr;
}

void eraseHeader(std::vector<HttpHeader> &Headers, const std::string &Name) {
  std::erase_if(Headers, [&Name](const HttpHeader &Header) {
    return equalsIgnoringCase(Header.Name_, Name);
  });
}

bool isHopByHop(const std::string &Name) {
  static const std::array<std::string, 9> Names = {
      "connection", "keep-alive",        "proxy-connection",
      "te",         "transfer-encoding", "trailer",
      "upgrade",    "content-length",    "host"};
  return std::any_of(Names.begin(), Names.end(),
                     [&Name](const std::string &Candidate) {
                       return equalsIgnoringCase(Candidate, Name);
                     });
}

} // namespace lagoonhitch
