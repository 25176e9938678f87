// A cereal archive for the messages exchanged between nodes. Numbers and string lengths are encoded
// as variable-length integers; the encoding has no alignment and no field names. The archives read
// from and write to memory only.
//
// The input archive treats its input as untrusted: it checks every length and count against the
// remaining bytes before it allocates anything. Failures are thrown as cereal::Exception, as by
// cereal's own archives; message_codec.cc converts them to kBadFrame. This header is internal to
// the transport module.
#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "membership/member.h"

namespace copperlead {

// Zone and configuration of the previous record in the same message. Consecutive members usually
// share both, which is then encoded as one flag bit each instead of the full value.
struct RecordContext {
  ZoneName zone;
  DocumentVersion configuration;
};

class CompactOutputArchive
    : public cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision> {
 public:
  CompactOutputArchive() : OutputArchive(this) {}

  void WriteByte(std::uint8_t byte) { bytes_.push_back(static_cast<char>(byte)); }

  void WriteBytes(const void* data, std::size_t size) {
    bytes_.append(static_cast<const char*>(data), size);
  }

  void WriteNumber(std::uint64_t value) {
    while (value >= 0x80) {
      WriteByte(static_cast<std::uint8_t>(value | 0x80));
      value >>= 7;
    }
    WriteByte(static_cast<std::uint8_t>(value));
  }

  void WriteFixed(std::uint64_t value, int byte_count) {
    for (int index = 0; index < byte_count; ++index) {
      WriteByte(static_cast<std::uint8_t>(value >> (8 * index)));
    }
  }

  void Reserve(std::size_t size) { bytes_.reserve(size); }
  RecordContext& record_context() { return record_context_; }
  std::string TakeBytes() { return std::move(bytes_); }

 private:
  std::string bytes_;
  RecordContext record_context_;
};

class CompactInputArchive
    : public cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision> {
 public:
  // @param bytes the input, which must outlive the archive.
  explicit CompactInputArchive(std::string_view bytes) : InputArchive(this), rest_(bytes) {}

  std::uint8_t ReadByte() { return static_cast<std::uint8_t>(ReadBytes(1).front()); }

  // @return a view of the next `size` bytes of the input, which are consumed.
  std::string_view ReadBytes(std::size_t size) {
    if (size > rest_.size()) throw cereal::Exception("input truncated");
    const std::string_view bytes = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return bytes;
  }

  std::uint64_t ReadNumber() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      const std::uint64_t byte = ReadByte();
      const std::uint64_t part = byte & 0x7f;
      if (shift == 63 && part > 1) break;
      value |= part << shift;
      if (byte < 0x80) return value;
    }
    throw cereal::Exception("number too large");
  }

  std::uint64_t ReadFixed(int byte_count) {
    const std::string_view bytes = ReadBytes(static_cast<std::size_t>(byte_count));
    std::uint64_t value = 0;
    for (int index = 0; index < byte_count; ++index) {
      const auto byte = static_cast<std::uint8_t>(bytes[static_cast<std::size_t>(index)]);
      value |= std::uint64_t{byte} << (8 * index);
    }
    return value;
  }

  // Reads the element count of a list.
  // @param min_element_bytes the smallest encoded size of one element, used to reject counts that
  //        the remaining input cannot hold.
  // @param limit the largest count that is accepted.
  std::size_t ReadCount(std::size_t min_element_bytes, std::size_t limit) {
    const std::uint64_t count = ReadNumber();
    if (count > limit) throw cereal::Exception("list too long");
    if (count > rest_.size() / min_element_bytes) throw cereal::Exception("list truncated");
    return static_cast<std::size_t>(count);
  }

  std::string ReadString(std::size_t limit) {
    const std::uint64_t size = ReadNumber();
    if (size > limit) throw cereal::Exception("string too long");
    return std::string(ReadBytes(static_cast<std::size_t>(size)));
  }

  std::size_t remaining() const { return rest_.size(); }
  RecordContext& record_context() { return record_context_; }

 private:
  std::string_view rest_;
  RecordContext record_context_;
};

}  // namespace copperlead

CEREAL_SETUP_ARCHIVE_TRAITS(copperlead::CompactInputArchive, copperlead::CompactOutputArchive)

namespace copperlead {

// --- Functions by which cereal saves and loads unsigned integers ---

template <class T>
requires std::is_unsigned_v<T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const T& value) {
  archive.WriteNumber(value);
}

template <class T>
requires std::is_unsigned_v<T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, T& value) {
  const std::uint64_t number = archive.ReadNumber();
  value = static_cast<T>(number);
  if (value != number) throw cereal::Exception("number too large for its field");
}

}  // namespace copperlead
