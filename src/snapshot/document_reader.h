// Decoding of the format that document_writer.h writes. Lengths and counts are checked against the
// remaining bytes before memory is allocated for them. Internal to snapshot/.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "snapshot/bundle.h"
#include "snapshot/machines.h"

namespace copperlead {

// Thrown by DocumentReader and the Read functions below when the bytes are not a valid document.
// transfer.cc catches it, so it does not leave this module.
class BadDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads numbers and strings from a buffer, which must outlive the reader. Not thread-safe.
class DocumentReader {
 public:
  explicit DocumentReader(std::string_view bytes);
  ~DocumentReader();
  DocumentReader(const DocumentReader&) = delete;
  DocumentReader& operator=(const DocumentReader&) = delete;

  std::uint8_t ReadByte();
  std::uint32_t ReadUint32();
  std::string ReadString();
  // Reads the number of items that follow, which is at most kMaxDocumentItems.
  // @param min_item_bytes the smallest encoded size of one item, which also limits the count.
  std::size_t ReadCount(std::size_t min_item_bytes);
  // Reads a value of an enumeration whose values are 0 to `last`.
  template <class Enumeration>
  Enumeration ReadEnum(Enumeration last) {
    const std::uint8_t value = ReadByte();
    if (value > static_cast<std::uint8_t>(last)) throw BadDocument("value outside its enumeration");
    return static_cast<Enumeration>(value);
  }

  // Throws BadDocument when unread bytes remain.
  void ExpectEnd();

 private:
  std::size_t Remaining();

  struct Archive;
  std::unique_ptr<Archive> archive_;
};

std::vector<RouteRow> ReadRows(DocumentReader& reader);
std::map<std::string, ServiceSettings> ReadServices(DocumentReader& reader);
std::map<std::string, std::string> ReadSecrets(DocumentReader& reader);
std::vector<Machine> ReadMachines(DocumentReader& reader);
std::vector<std::string> ReadNames(DocumentReader& reader);

}  // namespace copperlead
