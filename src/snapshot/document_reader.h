// Reads what document_writer.h wrote. Lengths and counts are checked against the bytes that remain
// before anything is allocated for them. Internal to snapshot/.
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

// Thrown by DocumentReader and the Read functions below for bytes that are no document. Caught in
// transfer.cc; it never leaves the module.
class BadDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Takes numbers and texts from one buffer, which must outlive it. Not thread-safe.
class DocumentReader {
 public:
  explicit DocumentReader(std::string_view bytes);
  ~DocumentReader();
  DocumentReader(const DocumentReader&) = delete;
  DocumentReader& operator=(const DocumentReader&) = delete;

  std::uint8_t Byte();
  std::uint32_t Number();
  std::string Text();
  // @param least_item_bytes the fewest bytes one of the counted items takes.
  std::size_t Count(std::size_t least_item_bytes);
  // @return a byte of an enumeration whose values are 0 to `last`.
  template <class Enumeration>
  Enumeration Choice(Enumeration last) {
    const std::uint8_t value = Byte();
    if (value > static_cast<std::uint8_t>(last)) throw BadDocument("value outside its enumeration");
    return static_cast<Enumeration>(value);
  }

  // Throws when bytes remain.
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
