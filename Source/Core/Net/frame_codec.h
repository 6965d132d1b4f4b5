// A codec for frames on a byte stream. A frame has a bounded length, a type, a
// payload and an authentication tag under the session key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/Common/error.h"

namespace primrosecove {

/// A received frame; `payload` is a view of the decoder's input.
struct Frame {
  uint8_t type = 0;
  std::string_view payload;
};

/// Encodes and decodes the frames of one direction of one connection. Not
/// thread safe.
///
/// Layout: length of payload (4 bytes, big endian), type (1), tag (16),
/// payload. The tag is HMAC-SHA-256 over direction, sequence number, type and
/// payload, so that a replayed, reordered or reflected frame fails to verify.
/// The tag is zero until the handshake has established a key.
class FrameCodec {
 public:
  static constexpr size_t kHeaderBytes = 4 + 1 + 16;

  /// `max_payload_bytes` bounds the payload length in a frame header.
  explicit FrameCodec(uint32_t max_payload_bytes)
      : max_payload_bytes_(max_payload_bytes) {}

  /// Sets the session key and the direction byte for all later frames, and
  /// restarts the sequence numbers.
  void SetKey(std::string key, uint8_t direction);
  /// Encodes the next frame. Precondition: the payload has at most
  /// `max_payload_bytes`.
  std::string Encode(uint8_t type, std::string_view payload);
  /// Returns the size in bytes of the frame at the start of `input`, or 0 when
  /// more input is needed. Fails with kTooLarge before any memory is allocated
  /// for the frame.
  Result<size_t> FrameSize(std::string_view input) const;
  /// Decodes one frame of exactly FrameSize bytes; fails with kPermission when
  /// the tag is invalid.
  Result<Frame> Decode(std::string_view bytes);

 private:
  std::string NextTag(uint8_t type, std::string_view payload);

  uint32_t max_payload_bytes_;
  std::string key_;
  uint8_t direction_ = 0;
  uint64_t sequence_ = 0;
};

}  // namespace primrosecove
