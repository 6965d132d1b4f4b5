#include "Core/Common/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <cstring>

namespace primrosecove {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

const unsigned char* UnsignedBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// FNV-1a, followed by the 64-bit finalizer of MurmurHash3 (Finalize):
// rendezvous scores need good mixing and speed, not collision resistance
// against an attacker.
uint64_t Fnv1a(uint64_t state, std::string_view text) {
  constexpr uint64_t kPrime = 0x100000001b3ULL;
  for (unsigned char c : text) {
    state ^= c;
    state *= kPrime;
  }
  return state;
}

uint64_t Finalize(uint64_t x) {
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  x ^= x >> 33;
  return x;
}

}  // namespace

std::string Digest::ToHex() const {
  std::string out;
  out.reserve(kBytes * 2);
  for (uint8_t b : bytes) {
    out.push_back(kHexDigits[b >> 4]);
    out.push_back(kHexDigits[b & 15]);
  }
  return out;
}

std::string Digest::ShortHex() const { return ToHex().substr(0, 12); }

uint64_t Digest::Prefix64() const {
  uint64_t out = 0;
  for (size_t i = 0; i < sizeof(out); ++i) out = out << 8 | bytes[i];
  return out;
}

std::string_view Digest::View() const {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

Result<Digest> Digest::FromHex(std::string_view hex) {
  if (hex.size() != kBytes * 2) {
    return Fail(ErrorCode::kInvalidArgument,
                "a digest has 64 hexadecimal digits");
  }
  Digest out;
  for (size_t i = 0; i < kBytes; ++i) {
    int high = HexValue(hex[2 * i]);
    int low = HexValue(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return Fail(ErrorCode::kInvalidArgument,
                  "a digest has hexadecimal digits only");
    }
    out.bytes[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return out;
}

Result<Digest> Digest::FromRaw(std::string_view raw) {
  if (raw.size() != kBytes)
    return Fail(ErrorCode::kInvalidArgument, "a digest has 32 bytes");
  Digest out;
  std::memcpy(out.bytes.data(), raw.data(), kBytes);
  return out;
}

Digest Sha256(std::string_view data) {
  Digest out;
  unsigned int n = Digest::kBytes;
  if (EVP_Digest(data.data(), data.size(), out.bytes.data(), &n, EVP_sha256(),
                 nullptr) != 1) {
    std::abort();
  }
  return out;
}

Digest HmacSha256(std::string_view key, std::string_view data) {
  Digest out;
  unsigned int n = Digest::kBytes;
  const unsigned char* mac =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           UnsignedBytes(data), data.size(), out.bytes.data(), &n);
  if (mac == nullptr) std::abort();
  return out;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t RendezvousScore(std::string_view item, std::string_view candidate) {
  constexpr uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  uint64_t state = Fnv1a(kOffsetBasis, item);
  state = Fnv1a(state, std::string_view("\0", 1));
  return Finalize(Fnv1a(state, candidate));
}

std::string RandomBytes(size_t n) {
  std::string out(n, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()),
                 static_cast<int>(n)) != 1) {
    std::abort();
  }
  return out;
}

uint64_t RandomU64() {
  uint64_t out = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&out), sizeof(out)) != 1)
    std::abort();
  return out;
}

}  // namespace primrosecove
