#include "Core/Routing/request_auth.h"

#include <cstdlib>

#include "Core/Common/text.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

// Clocks of two hosts may differ by this much; an older proof is refused.
constexpr int64_t kMaxAgeMs = 60'000;

std::string SignedText(const HttpRequest& request, const std::string& time) {
  std::string id(request.headers.Find(kRequestIdHeader).value_or(""));
  std::string once(request.headers.Find(kExecuteOnceIdHeader).value_or(""));
  return time + "\n" + request.method + "\n" + request.target + "\n" + id +
         "\n" + once;
}

std::string TagHex(std::string_view tag) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char c : tag) {
    out.push_back(kDigits[c >> 4]);
    out.push_back(kDigits[c & 15]);
  }
  return out;
}

std::string Tag(std::string_view key, const HttpRequest& request,
                const std::string& time) {
  return TagHex(HmacSha256(key, SignedText(request, time))
                    .View()
                    .substr(0, KeyRing::kTagBytes));
}

}  // namespace

std::string SignRequest(const KeyRing& keys, const HttpRequest& request,
                        int64_t now_ms) {
  std::string time = std::to_string(now_ms);
  return time + "." + Tag(keys.signing_key(), request, time);
}

bool IsRequestSigned(const KeyRing& keys, const HttpRequest& request,
                     int64_t now_ms) {
  auto proof = request.headers.Find(kAuthHeader);
  if (!proof) return false;
  size_t dot = proof->find('.');
  if (dot == std::string_view::npos) return false;
  std::string time(proof->substr(0, dot));
  auto sent_ms = ParseU64(time);
  if (!sent_ms ||
      std::llabs(now_ms - static_cast<int64_t>(*sent_ms)) > kMaxAgeMs)
    return false;
  for (const std::string& key : keys.keys()) {
    if (ConstantTimeEqual(Tag(key, request, time), proof->substr(dot + 1)))
      return true;
  }
  return false;
}

}  // namespace primrosecove
