#include "gateway/answer_headers.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace fernmoor::gateway {

namespace {

constexpr std::array<const char*, 10> kConnectionHeaders = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",  "Content-Length",
    "Upgrade",    "TE",         "Trailer",          "Proxy-Authenticate", "Proxy-Authorization"};

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

bool isConnectionHeader(const std::string& name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [&](const char* each) { return Poco::icompare(name, each) == 0; });
}

AnswerHead answerHeadOf(const Poco::Net::HTTPResponse& answer, const std::string& method) {
  AnswerHead head;
  head.status = static_cast<int>(answer.getStatus());
  head.reason = answer.getReason();
  head.isBodyless = method == "HEAD" || head.status == kNoContent || head.status == kNotModified;
  for (const auto& header : answer) {
    if (!isConnectionHeader(header.first)) {
      head.headers.add(header.first, header.second);
    }
  }
  return head;
}

}  // namespace fernmoor::gateway
