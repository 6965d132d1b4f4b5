#include "Core/Net/frame_codec.h"

#include "Core/Common/digest.h"

namespace primrosecove {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kTagBytes = 16;

uint32_t ReadBigEndian32(std::string_view bytes) {
  uint32_t out = 0;
  for (size_t i = 0; i < kLengthBytes; ++i)
    out = out << 8 | static_cast<uint8_t>(bytes[i]);
  return out;
}

void AppendBigEndian(std::string* out, uint64_t value, size_t bytes) {
  for (size_t i = bytes; i-- > 0;)
    out->push_back(static_cast<char>(value >> (8 * i)));
}

}  // namespace

void FrameCodec::SetKey(std::string key, uint8_t direction) {
  key_ = std::move(key);
  direction_ = direction;
  sequence_ = 0;
}

std::string FrameCodec::NextTag(uint8_t type, std::string_view payload) {
  if (key_.empty()) return std::string(kTagBytes, '\0');
  std::string message;
  message.reserve(payload.size() + 10);
  message.push_back(static_cast<char>(direction_));
  AppendBigEndian(&message, sequence_++, sizeof(uint64_t));
  message.push_back(static_cast<char>(type));
  message.append(payload);
  return std::string(HmacSha256(key_, message).View().substr(0, kTagBytes));
}

std::string FrameCodec::Encode(uint8_t type, std::string_view payload) {
  std::string out;
  out.reserve(kHeaderBytes + payload.size());
  AppendBigEndian(&out, payload.size(), kLengthBytes);
  out.push_back(static_cast<char>(type));
  out.append(NextTag(type, payload));
  out.append(payload);
  return out;
}

Result<size_t> FrameCodec::FrameSize(std::string_view input) const {
  if (input.size() < kHeaderBytes) return size_t{0};
  uint32_t payload_bytes = ReadBigEndian32(input);
  if (payload_bytes > max_payload_bytes_) {
    return Fail(ErrorCode::kTooLarge, "frame of " +
                                          std::to_string(payload_bytes) +
                                          " bytes exceeds the limit of " +
                                          std::to_string(max_payload_bytes_));
  }
  size_t frame_bytes = kHeaderBytes + payload_bytes;
  return input.size() < frame_bytes ? size_t{0} : frame_bytes;
}

Result<Frame> FrameCodec::Decode(std::string_view bytes) {
  Frame out;
  out.type = static_cast<uint8_t>(bytes[kLengthBytes]);
  out.payload = bytes.substr(kHeaderBytes);
  std::string_view tag = bytes.substr(kLengthBytes + 1, kTagBytes);
  if (!ConstantTimeEqual(NextTag(out.type, out.payload), tag)) {
    return Fail(ErrorCode::kPermission,
                "frame has an invalid authentication tag");
  }
  return out;
}

}  // namespace primrosecove
