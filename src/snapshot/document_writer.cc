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

void DocumentWriter::Byte(std::uint8_t value) { archive_->archive(value); }

void DocumentWriter::Number(std::uint32_t value) { archive_->archive(value); }

void DocumentWriter::Text(std::string_view text) {
  Count(text.size());
  archive_->archive(cereal::binary_data(text.data(), text.size()));
}

void DocumentWriter::Bytes(std::span<const std::uint8_t> raw) {
  archive_->archive(cereal::binary_data(raw.data(), raw.size()));
}

void DocumentWriter::Count(std::size_t count) {
  if (count > std::numeric_limits<std::uint32_t>::max()) {
    throw std::length_error("a document's part is too large to be written");
  }
  Number(static_cast<std::uint32_t>(count));
}

std::string DocumentWriter::Take() { return std::move(archive_->stream).str(); }

void WriteRows(DocumentWriter& writer, const std::vector<RouteRow>& rows) {
  writer.Count(rows.size());
  for (const auto& row : rows) {
    writer.Text(row.service);
    writer.Text(row.route);
    writer.Number(row.old_weight);
    writer.Number(row.new_weight);
    writer.Number(row.timeout_ms);
    writer.Number(row.requests_per_second);
    writer.Number(row.max_in_flight);
    writer.Number(row.max_retries);
    writer.Byte(static_cast<std::uint8_t>(row.repeatable));
    writer.Text(row.secret);
  }
}

void WriteServices(DocumentWriter& writer, const std::map<std::string, ServiceSettings>& services) {
  writer.Count(services.size());
  for (const auto& [name, settings] : services) {
    writer.Text(name);
    writer.Number(settings.slots_per_instance);
    writer.Number(settings.connections_per_instance);
  }
}

void WriteSecrets(DocumentWriter& writer, const std::map<std::string, std::string>& secrets) {
  writer.Count(secrets.size());
  for (const auto& [name, value] : secrets) {
    writer.Text(name);
    writer.Text(value);
  }
}

void WriteMachines(DocumentWriter& writer, const std::vector<Machine>& machines) {
  writer.Count(machines.size());
  for (const auto& machine : machines) {
    writer.Text(machine.id);
    writer.Byte(static_cast<std::uint8_t>(machine.kind));
    writer.Text(machine.service);
    writer.Byte(static_cast<std::uint8_t>(machine.site));
    writer.Text(machine.zone);
    writer.Text(machine.address.ip);
    writer.Number(machine.address.port);
    writer.Byte(static_cast<std::uint8_t>(machine.state));
  }
}

void WriteNames(DocumentWriter& writer, const std::vector<std::string>& names) {
  writer.Count(names.size());
  for (const auto& name : names) writer.Text(name);
}

std::uint64_t ContentOf(const std::string& canonical_bytes) {
  const Digest digest = DigestOf(canonical_bytes);
  std::uint64_t content = 0;
  for (std::size_t index = 0; index < sizeof(content); ++index) {
    content = content << 8 | digest[index];
  }
  return content;
}

}  // namespace copperlead
