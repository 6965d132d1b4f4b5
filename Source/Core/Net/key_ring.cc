#include "Core/Net/key_ring.h"

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

std::string ComputeTag(std::string_view key, std::string_view message) {
  return std::string(
      HmacSha256(key, message).View().substr(0, KeyRing::kTagBytes));
}

std::string DeriveKeyId(std::string_view key) {
  return std::string(HmacSha256(key, "primrosecove key id")
                         .View()
                         .substr(0, KeyRing::kIdBytes));
}

}  // namespace

Result<KeyRing> KeyRing::Create(std::vector<std::string> keys) {
  if (keys.empty())
    return Fail(ErrorCode::kInvalidArgument, "no shared key was given");
  for (const std::string& it : keys) {
    if (it.size() >= kMinKeyBytes) continue;
    return Fail(ErrorCode::kInvalidArgument,
                "a shared key must have at least " +
                    std::to_string(kMinKeyBytes) + " bytes");
  }
  return KeyRing(std::move(keys));
}

Result<KeyRing> KeyRing::FromText(std::string_view text) {
  std::vector<std::string> keys;
  for (std::string& it : Split(text, '\n')) {
    if (!it.empty()) keys.push_back(std::move(it));
  }
  return Create(std::move(keys));
}

std::string KeyRing::Sign(std::string_view message) const {
  return std::string(message) + ComputeTag(keys_.front(), message);
}

std::optional<std::string_view> KeyRing::Verify(
    std::string_view signed_message) const {
  if (signed_message.size() < kTagBytes) return std::nullopt;
  std::string_view message =
      signed_message.substr(0, signed_message.size() - kTagBytes);
  std::string_view tag = signed_message.substr(message.size());
  for (const std::string& it : keys_) {
    if (ConstantTimeEqual(ComputeTag(it, message), tag)) return message;
  }
  return std::nullopt;
}

const std::string* KeyRing::FindById(std::string_view id) const {
  for (const std::string& it : keys_) {
    if (DeriveKeyId(it) == id) return &it;
  }
  return nullptr;
}

std::string KeyRing::SigningId() const { return DeriveKeyId(keys_.front()); }

}  // namespace primrosecove
