// Canonical bytes of the documents' parts: the base of content digests and of transfers. Cereal's
// portable binary archive, always little-endian, with 32-bit lengths. Internal to snapshot/.
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

// Appends numbers and texts to one buffer. Not thread-safe.
class DocumentWriter {
 public:
  DocumentWriter();
  ~DocumentWriter();
  DocumentWriter(const DocumentWriter&) = delete;
  DocumentWriter& operator=(const DocumentWriter&) = delete;

  void Byte(std::uint8_t value);
  void Number(std::uint32_t value);
  void Text(std::string_view text);               // Length, then bytes.
  void Bytes(std::span<const std::uint8_t> raw);  // Bytes alone; the reader knows their number.
  void Count(std::size_t count);                  // Of the items that follow.

  // @return everything written. Call once, last.
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

// @return the first 8 bytes of the SHA-256 of the bytes, as a big-endian number.
std::uint64_t ContentOf(const std::string& canonical_bytes);

}  // namespace copperlead
