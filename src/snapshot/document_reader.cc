#include "snapshot/document_reader.h"

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <limits>
#include <streambuf>
#include <utility>

namespace copperlead {
namespace {

// The smallest encoded size of each kind of item, which has only empty strings.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kMinRowBytes = 3 * kLengthBytes + 6 * kNumberBytes + 1;
constexpr std::size_t kMinServiceBytes = kLengthBytes + 2 * kNumberBytes;
constexpr std::size_t kMinSecretBytes = 2 * kLengthBytes;
constexpr std::size_t kMinMachineBytes = 4 * kLengthBytes + kNumberBytes + 3;

// A stream buffer that reads from memory that it does not own.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* const begin =
        const_cast<char*>(bytes.data());  // std::streambuf does not write to its get area.
    setg(begin, begin, begin + bytes.size());
  }
  std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

// Calls `function` and converts the archive's exceptions to BadDocument.
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

std::uint8_t DocumentReader::ReadByte() {
  std::uint8_t value = 0;
  Load([&] { archive_->archive(value); });
  return value;
}

std::uint32_t DocumentReader::ReadUint32() {
  std::uint32_t value = 0;
  Load([&] { archive_->archive(value); });
  return value;
}

std::string DocumentReader::ReadString() {
  const std::size_t length = ReadUint32();
  if (length > Remaining()) throw BadDocument("a text's length exceeds the bytes left");
  std::string text(length, '\0');
  Load([&] { archive_->archive(cereal::binary_data(text.data(), text.size())); });
  return text;
}

std::size_t DocumentReader::ReadCount(std::size_t min_item_bytes) {
  const std::size_t count = ReadUint32();
  if (count > kMaxDocumentItems) throw BadDocument("too many items");
  if (count > Remaining() / min_item_bytes) throw BadDocument("a count exceeds the bytes left");
  return count;
}

void DocumentReader::ExpectEnd() {
  if (Remaining() != 0) throw BadDocument("bytes are left after the document's end");
}

std::vector<RouteRow> ReadRows(DocumentReader& reader) {
  std::vector<RouteRow> rows(reader.ReadCount(kMinRowBytes));
  for (auto& row : rows) {
    row.service = reader.ReadString();
    row.route = reader.ReadString();
    row.old_weight = reader.ReadUint32();
    row.new_weight = reader.ReadUint32();
    row.timeout_ms = reader.ReadUint32();
    row.requests_per_second = reader.ReadUint32();
    row.max_in_flight = reader.ReadUint32();
    row.max_retries = reader.ReadUint32();
    row.repeatable = reader.ReadEnum(Repeatable::kNo);
    row.secret = reader.ReadString();
  }
  return rows;
}

std::map<std::string, ServiceSettings> ReadServices(DocumentReader& reader) {
  std::map<std::string, ServiceSettings> services;
  const std::size_t count = reader.ReadCount(kMinServiceBytes);
  for (std::size_t index = 0; index < count; ++index) {
    std::string name = reader.ReadString();
    ServiceSettings settings;
    settings.slots_per_instance = reader.ReadUint32();
    settings.connections_per_instance = reader.ReadUint32();
    services.insert_or_assign(std::move(name), settings);
  }
  return services;
}

std::map<std::string, std::string> ReadSecrets(DocumentReader& reader) {
  std::map<std::string, std::string> secrets;
  const std::size_t count = reader.ReadCount(kMinSecretBytes);
  for (std::size_t index = 0; index < count; ++index) {
    std::string name = reader.ReadString();
    secrets.insert_or_assign(std::move(name), reader.ReadString());
  }
  return secrets;
}

std::vector<Machine> ReadMachines(DocumentReader& reader) {
  std::vector<Machine> machines(reader.ReadCount(kMinMachineBytes));
  for (auto& machine : machines) {
    machine.id = reader.ReadString();
    machine.kind = reader.ReadEnum(MachineKind::kBackend);
    machine.service = reader.ReadString();
    machine.site = reader.ReadEnum(Site::kNew);
    machine.zone = reader.ReadString();
    machine.address.ip = reader.ReadString();
    const std::uint32_t port = reader.ReadUint32();
    if (port > std::numeric_limits<std::uint16_t>::max()) throw BadDocument("no such port");
    machine.address.port = static_cast<std::uint16_t>(port);
    machine.state = reader.ReadEnum(MachineState::kLeaving);
  }
  return machines;
}

std::vector<std::string> ReadNames(DocumentReader& reader) {
  std::vector<std::string> names(reader.ReadCount(kLengthBytes));
  for (auto& name : names) name = reader.ReadString();
  return names;
}

}  // namespace copperlead
