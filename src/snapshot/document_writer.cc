#include "snapshot/document_writer.h"

#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace copperlead {

struct DocumentWriter::Archive {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive{
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian()};
};

DocumentWriter::DocumentWriter() : archive_(std::make_unique<Archive>()) {}
DocumentWriter::~DocumentWriter() = default;

void DocumentWriter::WriteByte(std::uint8_t value) { archive_->archive(value); }

void DocumentWriter::WriteUint32(std::uint32_t value) { archive_->archive(value); }

void DocumentWriter::WriteString(std::string_view text) {
  WriteCount(text.size());
  archive_->archive(cereal::binary_data(text.data(), text.size()));
}

void DocumentWriter::WriteRawBytes(std::span<const std::uint8_t> raw) {
  archive_->archive(cereal::binary_data(raw.data(), raw.size()));
}

void DocumentWriter::WriteCount(std::size_t count) {
  if (count > std::numeric_limits<std::uint32_t>::max()) {
    throw std::length_error("a document's part is too large to be written");
  }
  WriteUint32(static_cast<std::uint32_t>(count));
}

std::string DocumentWriter::Take() { return std::move(archive_->stream).str(); }

void WriteRows(DocumentWriter& writer, const std::vector<RouteRow>& rows) {
  writer.WriteCount(rows.size());
  for (const auto& row : rows) {
    writer.WriteString(row.service);
    writer.WriteString(row.route);
    writer.WriteUint32(row.old_weight);
    writer.WriteUint32(row.new_weight);
    writer.WriteUint32(row.timeout_ms);
    writer.WriteUint32(row.requests_per_second);
    writer.WriteUint32(row.max_in_flight);
    writer.WriteUint32(row.max_retries);
    writer.WriteByte(static_cast<std::uint8_t>(row.repeatable));
    writer.WriteString(row.secret);
  }
}

void WriteServices(DocumentWriter& writer, const std::map<std::string, ServiceSettings>& services) {
  writer.WriteCount(services.size());
  for (const auto& [name, settings] : services) {
    writer.WriteString(name);
    writer.WriteUint32(settings.slots_per_instance);
    writer.WriteUint32(settings.connections_per_instance);
  }
}

void WriteSecrets(DocumentWriter& writer, const std::map<std::string, std::string>& secrets) {
  writer.WriteCount(secrets.size());
  for (const auto& [name, value] : secrets) {
    writer.WriteString(name);
    writer.WriteString(value);
  }
}

void WriteMachines(DocumentWriter& writer, const std::vector<Machine>& machines) {
  writer.WriteCount(machines.size());
  for (const auto& machine : machines) {
    writer.WriteString(machine.id);
    writer.WriteByte(static_cast<std::uint8_t>(machine.kind));
    writer.WriteString(machine.service);
    writer.WriteByte(static_cast<std::uint8_t>(machine.site));
    writer.WriteString(machine.zone);
    writer.WriteString(machine.address.ip);
    writer.WriteUint32(machine.address.port);
    writer.WriteByte(static_cast<std::uint8_t>(machine.state));
  }
}

void WriteNames(DocumentWriter& writer, const std::vector<std::string>& names) {
  writer.WriteCount(names.size());
  for (const auto& name : names) writer.WriteString(name);
}

std::uint64_t ContentHashOf(const std::string& canonical_bytes) {
  const Digest digest = DigestOf(canonical_bytes);
  std::uint64_t content = 0;
  for (std::size_t index = 0; index < sizeof(content); ++index) {
    content = content << 8 | digest[index];
  }
  return content;
}

}  // namespace copperlead
