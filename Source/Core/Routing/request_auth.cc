#include "Core/Routing/request_auth.h"

#include <cstdlib>

#include "Core/Common/text.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

// Tolerates this much clock difference between two hosts and rejects signatures
// that are older.
constexpr int64_t kMaxSignatureAgeMs = 60'000;

std::string SignedContent(const HttpRequest& request, const std::string& time) {
  std::string id(request.headers.Find(kRequestIdHeader).value_or(""));
  std::string execute_once_id(
      request.headers.Find(kExecuteOnceIdHeader).value_or(""));
  return time + "\n" + request.method + "\n" + request.target + "\n" + id +
         "\n" + execute_once_id;
}

std::string HexEncode(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (unsigned char c : bytes) {
    out.push_back(kDigits[c >> 4]);
    out.push_back(kDigits[c & 15]);
  }
  return out;
}

std::string RequestMac(std::string_view key, const HttpRequest& request,
                       const std::string& time) {
  return HexEncode(HmacSha256(key, SignedContent(request, time))
                       .View()
                       .substr(0, KeyRing::kTagBytes));
}

}  // namespace

std::string SignRequest(const KeyRing& keys, const HttpRequest& request,
                        int64_t now_ms) {
  std::string time = std::to_string(now_ms);
  return time + "." + RequestMac(keys.signing_key(), request, time);
}

bool IsRequestSigned(const KeyRing& keys, const HttpRequest& request,
                     int64_t now_ms) {
  auto signature = request.headers.Find(kAuthHeader);
  if (!signature) return false;
  size_t dot = signature->find('.');
  if (dot == std::string_view::npos) return false;
  std::string time(signature->substr(0, dot));
  auto sent_ms = ParseU64(time);
  if (!sent_ms ||
      std::llabs(now_ms - static_cast<int64_t>(*sent_ms)) > kMaxSignatureAgeMs)
    return false;
  for (const std::string& key : keys.keys()) {
    if (ConstantTimeEqual(RequestMac(key, request, time),
                          signature->substr(dot + 1)))
      return true;
  }
  return false;
}

}  // namespace primrosecove
