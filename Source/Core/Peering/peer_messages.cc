#include "Core/Peering/peer_messages.h"

#include <msgpack.hpp>

namespace primrosecove {
namespace {

// The size of a frame is limited elsewhere. These limits prevent a small frame
// from declaring large containers.
constexpr size_t kMaxItems = 1 << 20;
constexpr size_t kMaxBytes = 5 << 20;
constexpr size_t kMaxDepth = 4;

using Packer = msgpack::packer<msgpack::sbuffer>;

void Pack(Packer* out, const Digest& it) { out->pack(std::string(it.View())); }

void PackBinary(Packer* out, std::string_view bytes) {
  out->pack_bin(static_cast<uint32_t>(bytes.size()));
  out->pack_bin_body(bytes.data(), static_cast<uint32_t>(bytes.size()));
}

template <typename Write>
std::string EncodeArray(uint32_t fields, size_t reserve, Write write) {
  msgpack::sbuffer buf(reserve);
  Packer out(buf);
  out.pack_array(fields);
  write(&out);
  return {buf.data(), buf.size()};
}

constexpr size_t kFixedFieldsBytes = 128;

Digest ReadDigest(const msgpack::object& object) {
  auto digest = Digest::FromRaw(object.as<std::string>());
  if (!digest) throw msgpack::type_error();
  return digest.value();
}

std::string_view ReadBinary(const msgpack::object& object) {
  if (object.type != msgpack::type::BIN) throw msgpack::type_error();
  return {object.via.bin.ptr, object.via.bin.size};
}

template <typename Read>
bool DecodeArray(std::string_view bytes, uint32_t fields, Read read) {
  msgpack::unpack_limit limit(kMaxItems, 0, kMaxBytes, kMaxBytes, 0, kMaxDepth);
  // Strings and binaries reference the input, which avoids a copy of each
  // chunk.
  auto reference = [](msgpack::type::object_type, size_t, void*) {
    return true;
  };
  try {
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), reference, nullptr, limit);
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size != fields)
      return false;
    read(object.via.array.ptr);
    return true;
  } catch (const msgpack::unpack_error&) {
    return false;
  } catch (const msgpack::type_error&) {
    return false;
  }
}

using Items = const msgpack::object*;

}  // namespace

std::string Encode(const IdentifyMessage& it) {
  return EncodeArray(2, kFixedFieldsBytes, [&](Packer* out) {
    out->pack(it.name);
    out->pack(it.incarnation);
  });
}

bool Decode(std::string_view bytes, IdentifyMessage* out) {
  return DecodeArray(bytes, 2, [&](Items items) {
    items[0].convert(out->name);
    items[1].convert(out->incarnation);
  });
}

std::string Encode(const BundleRequestMessage& it) {
  return EncodeArray(1, kFixedFieldsBytes,
                     [&](Packer* out) { out->pack(it.known_revision); });
}

bool Decode(std::string_view bytes, BundleRequestMessage* out) {
  return DecodeArray(
      bytes, 1, [&](Items items) { items[0].convert(out->known_revision); });
}

std::string Encode(const BundleMessage& it) {
  return EncodeArray(2, it.bundle.size() + it.head.size() + kFixedFieldsBytes,
                     [&](Packer* out) {
                       out->pack(it.head);
                       out->pack(it.bundle);
                     });
}

bool Decode(std::string_view bytes, BundleMessage* out) {
  return DecodeArray(bytes, 2, [&](Items items) {
    items[0].convert(out->head);
    items[1].convert(out->bundle);
  });
}

std::string Encode(const ManifestRequestMessage& it) {
  return EncodeArray(1, kFixedFieldsBytes,
                     [&](Packer* out) { Pack(out, it.manifest); });
}

bool Decode(std::string_view bytes, ManifestRequestMessage* out) {
  return DecodeArray(
      bytes, 1, [&](Items items) { out->manifest = ReadDigest(items[0]); });
}

std::string Encode(const ManifestMessage& it) {
  return EncodeArray(2, it.text.size() + kFixedFieldsBytes, [&](Packer* out) {
    Pack(out, it.manifest);
    out->pack(it.text);
  });
}

bool Decode(std::string_view bytes, ManifestMessage* out) {
  return DecodeArray(bytes, 2, [&](Items items) {
    out->manifest = ReadDigest(items[0]);
    items[1].convert(out->text);
  });
}

std::string Encode(const HaveMessage& it) {
  return EncodeArray(3, it.bitmap.size() + kFixedFieldsBytes, [&](Packer* out) {
    Pack(out, it.manifest);
    PackBinary(out, {reinterpret_cast<const char*>(it.bitmap.data()),
                     it.bitmap.size()});
    out->pack(it.reply_wanted);
  });
}

bool Decode(std::string_view bytes, HaveMessage* out) {
  return DecodeArray(bytes, 3, [&](Items items) {
    out->manifest = ReadDigest(items[0]);
    std::string_view bits = ReadBinary(items[1]);
    out->bitmap.assign(bits.begin(), bits.end());
    items[2].convert(out->reply_wanted);
  });
}

std::string Encode(const HaveUpdateMessage& it) {
  return EncodeArray(2, kFixedFieldsBytes, [&](Packer* out) {
    Pack(out, it.manifest);
    out->pack(it.chunks);
  });
}

bool Decode(std::string_view bytes, HaveUpdateMessage* out) {
  return DecodeArray(bytes, 2, [&](Items items) {
    out->manifest = ReadDigest(items[0]);
    items[1].convert(out->chunks);
  });
}

std::string Encode(const ChunkId& it) {
  return EncodeArray(2, kFixedFieldsBytes, [&](Packer* out) {
    Pack(out, it.manifest);
    out->pack(it.chunk);
  });
}

bool Decode(std::string_view bytes, ChunkId* out) {
  return DecodeArray(bytes, 2, [&](Items items) {
    out->manifest = ReadDigest(items[0]);
    items[1].convert(out->chunk);
  });
}

std::string Encode(const ChunkMessage& it) {
  return EncodeArray(4, it.bytes.size() + kFixedFieldsBytes, [&](Packer* out) {
    Pack(out, it.manifest);
    out->pack(it.chunk);
    out->pack(it.queue);
    PackBinary(out, it.bytes);
  });
}

bool Decode(std::string_view bytes, ChunkMessage* out) {
  return DecodeArray(bytes, 4, [&](Items items) {
    out->manifest = ReadDigest(items[0]);
    items[1].convert(out->chunk);
    items[2].convert(out->queue);
    out->bytes = ReadBinary(items[3]);
  });
}

}  // namespace primrosecove
