#include "snapshot/document_reader.h"

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <limits>
#include <streambuf>
#include <utility>

namespace copperlead {
namespace {

// Fewest bytes of one item: its lengths and numbers, all texts empty.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kLeastRowBytes = 3 * kLengthBytes + 6 * kNumberBytes + 1;
constexpr std::size_t kLeastServiceBytes = kLengthBytes + 2 * kNumberBytes;
constexpr std::size_t kLeastSecretBytes = 2 * kLengthBytes;
constexpr std::size_t kLeastMachineBytes = 4 * kLengthBytes + kNumberBytes + 3;

// Reads from memory that it does not own.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* const begin = const_cast<char*>(bytes.data());  // Get areas are never written to.
    setg(begin, begin, begin + bytes.size());
  }
  std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// Makes the archive's own exceptions BadDocument.
template <class Function>
void Load(Function&& function) {
  try {
    std::forward<Function>(function)();
  } catch (const cereal::Exception&) {
    throw BadDocument("the bytes end too early");
  }
}

}  // namespace

struct DocumentReader::Archive {
  explicit Archive(std::string_view bytes)
      : buffer(bytes),
        stream(&buffer),
        archive(stream, cereal::PortableBinaryInputArchive::Options::LittleEndian()) {}

  ViewBuffer buffer;
  std::istream stream;
  cereal::PortableBinaryInputArchive archive;
};

DocumentReader::DocumentReader(std::string_view bytes) {
  Load([&] { archive_ = std::make_unique<Archive>(bytes); });
}

DocumentReader::~DocumentReader() = default;

std::size_t DocumentReader::Remaining() { return archive_->buffer.remaining(); }

std::uint8_t DocumentReader::Byte() {
  std::uint8_t value = 0;
  Load([&] { archive_->archive(value); });
  return value;
}

std::uint32_t DocumentReader::Number() {
  std::uint32_t value = 0;
  Load([&] { archive_->archive(value); });
  return value;
}

std::string DocumentReader::Text() {
  const std::size_t length = Number();
  if (length > Remaining()) throw BadDocument("a text's length exceeds the bytes left");
  std::string text(length, '\0');
  Load([&] { archive_->archive(cereal::binary_data(text.data(), text.size())); });
  return text;
}

std::size_t DocumentReader::Count(std::size_t least_item_bytes) {
  const std::size_t count = Number();
  if (count > kMaxDocumentItems) throw BadDocument("too many items");
  if (count > Remaining() / least_item_bytes) throw BadDocument("a count exceeds the bytes left");
  return count;
}

void DocumentReader::ExpectEnd() {
  if (Remaining() != 0) throw BadDocument("bytes are left after the document's end");
}

std::vector<RouteRow> ReadRows(DocumentReader& reader) {
  std::vector<RouteRow> rows(reader.Count(kLeastRowBytes));
  for (auto& row : rows) {
    row.service = reader.Text();
    row.route = reader.Text();
    row.old_weight = reader.Number();
    row.new_weight = reader.Number();
    row.timeout_ms = reader.Number();
    row.requests_per_second = reader.Number();
    row.max_in_flight = reader.Number();
    row.max_retries = reader.Number();
    row.repeatable = reader.Choice(Repeatable::kNo);
    row.secret = reader.Text();
  }
  return rows;
}

std::map<std::string, ServiceSettings> ReadServices(DocumentReader& reader) {
  std::map<std::string, ServiceSettings> services;
  const std::size_t count = reader.Count(kLeastServiceBytes);
  for (std::size_t index = 0; index < count; ++index) {
    std::string name = reader.Text();
    ServiceSettings settings;
    settings.slots_per_instance = reader.Number();
    settings.connections_per_instance = reader.Number();
    services.insert_or_assign(std::move(name), settings);
  }
  return services;
}

std::map<std::string, std::string> ReadSecrets(DocumentReader& reader) {
  std::map<std::string, std::string> secrets;
  const std::size_t count = reader.Count(kLeastSecretBytes);
  for (std::size_t index = 0; index < count; ++index) {
    std::string name = reader.Text();
    secrets.insert_or_assign(std::move(name), reader.Text());
  }
  return secrets;
}

std::vector<Machine> ReadMachines(DocumentReader& reader) {
  std::vector<Machine> machines(reader.Count(kLeastMachineBytes));
  for (auto& machine : machines) {
    machine.id = reader.Text();
    machine.kind = reader.Choice(MachineKind::kBackend);
    machine.service = reader.Text();
    machine.site = reader.Choice(Site::kNew);
    machine.zone = reader.Text();
    machine.address.ip = reader.Text();
    const std::uint32_t port = reader.Number();
    if (port > std::numeric_limits<std::uint16_t>::max()) throw BadDocument("no such port");
    machine.address.port = static_cast<std::uint16_t>(port);
    machine.state = reader.Choice(MachineState::kLeaving);
  }
  return machines;
}

std::vector<std::string> ReadNames(DocumentReader& reader) {
  std::vector<std::string> names(reader.Count(kLengthBytes));
  for (auto& name : names) name = reader.Text();
  return names;
}

}  // namespace copperlead
