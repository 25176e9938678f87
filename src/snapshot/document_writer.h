// The canonical binary encoding of documents, which content hashes and transfers are based on. The
// format is cereal's portable binary archive, always little-endian, with 32-bit lengths. Internal
// to snapshot/.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "snapshot/bundle.h"
#include "snapshot/machines.h"

namespace copperlead {

// Appends numbers and strings to a buffer. Not thread-safe.
class DocumentWriter {
 public:
  DocumentWriter();
  ~DocumentWriter();
  DocumentWriter(const DocumentWriter&) = delete;
  DocumentWriter& operator=(const DocumentWriter&) = delete;

  void WriteByte(std::uint8_t value);
  void WriteUint32(std::uint32_t value);
  void WriteString(std::string_view text);                // Length, followed by the bytes.
  void WriteRawBytes(std::span<const std::uint8_t> raw);  // Bytes without their length.
  void WriteCount(std::size_t count);                     // Number of the items that follow.

  // @return all bytes written. Must be called only once, after the last write.
  std::string Take();

 private:
  struct Archive;
  std::unique_ptr<Archive> archive_;
};

void WriteRows(DocumentWriter& writer, const std::vector<RouteRow>& rows);
void WriteServices(DocumentWriter& writer, const std::map<std::string, ServiceSettings>& services);
void WriteSecrets(DocumentWriter& writer, const std::map<std::string, std::string>& secrets);
void WriteMachines(DocumentWriter& writer, const std::vector<Machine>& machines);
void WriteNames(DocumentWriter& writer, const std::vector<std::string>& names);

// @return the first 8 bytes of the SHA-256 of `canonical_bytes`, as a big-endian number.
std::uint64_t ContentHashOf(const std::string& canonical_bytes);

}  // namespace copperlead
