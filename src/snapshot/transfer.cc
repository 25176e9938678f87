#include "snapshot/transfer.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "snapshot/compression.h"
#include "snapshot/document_reader.h"
#include "snapshot/document_writer.h"

namespace copperlead {
namespace {

constexpr const char* kPlace = "payload";

// The changes that turn one sorted list into another. Keys of items are unique.
template <class Item>
struct ListDelta {
  std::vector<Item> changed;  // Added or replaced items.
  std::vector<std::string> removed;
};

template <class Value>
struct MapDelta {
  std::map<std::string, Value> changed;
  std::vector<std::string> removed;
};

// @param key the member that identifies an item. Both lists are sorted by it.
template <class Item>
ListDelta<Item> DeltaOf(const std::vector<Item>& base, const std::vector<Item>& target,
                        std::string Item::*key) {
  ListDelta<Item> delta;
  auto old_item = base.begin();
  for (const Item& item : target) {
    for (; old_item != base.end() && (*old_item).*key < item.*key; ++old_item) {
      delta.removed.push_back((*old_item).*key);
    }
    const bool in_base = old_item != base.end() && (*old_item).*key == item.*key;
    if (!in_base || !(*old_item == item)) delta.changed.push_back(item);
    if (in_base) ++old_item;
  }
  for (; old_item != base.end(); ++old_item) delta.removed.push_back((*old_item).*key);
  return delta;
}

template <class Value>
MapDelta<Value> DeltaOf(const std::map<std::string, Value>& base,
                        const std::map<std::string, Value>& target) {
  MapDelta<Value> delta;
  for (const auto& [name, value] : target) {
    const auto found = base.find(name);
    if (found == base.end() || !(found->second == value)) delta.changed.emplace(name, value);
  }
  for (const auto& [name, value] : base) {
    if (!target.contains(name)) delta.removed.push_back(name);
  }
  return delta;
}

template <class Item>
std::vector<Item> Apply(const std::vector<Item>& base, ListDelta<Item> delta,
                        std::string Item::*key) {
  std::ranges::sort(delta.removed);
  std::ranges::stable_sort(delta.changed, {}, key);
  const auto replaced = [&](const std::string& name) {
    return std::ranges::binary_search(delta.removed, name) ||
           std::ranges::binary_search(delta.changed, name, {}, key);
  };
  std::vector<Item> result;
  result.reserve(base.size() + delta.changed.size());
  for (const Item& item : base) {
    if (!replaced(item.*key)) result.push_back(item);
  }
  std::ranges::move(delta.changed, std::back_inserter(result));
  return result;
}

template <class Value>
std::map<std::string, Value> Apply(std::map<std::string, Value> base, MapDelta<Value> delta) {
  for (const auto& name : delta.removed) base.erase(name);
  for (auto& [name, value] : delta.changed) base.insert_or_assign(name, std::move(value));
  return base;
}

Transfer MakeTransfer(StreamKind stream, const DocumentVersion& version,
                      const DocumentVersion& base, DocumentWriter& writer) {
  auto payload = std::make_shared<const std::string>(Compress(writer.Take()));
  return {stream, version, base, std::move(payload)};
}

// Performs the checks that both kinds of document share, and decompresses the payload.
template <class Document>
Result<std::string> Unpack(const Transfer& transfer, StreamKind stream, const Document* base) {
  if (transfer.stream != stream) {
    return Fail(ErrorKind::kBadFrame, "transfer", "it carries the other document");
  }
  if (!transfer.is_full() && (base == nullptr || !(base->version == transfer.base))) {
    return Fail(ErrorKind::kUnknownBase, "transfer",
                "it needs version " + ToString(transfer.base) + " and " +
                    (base == nullptr ? "none" : ToString(base->version)) + " is here");
  }
  if (transfer.payload == nullptr) return Fail(ErrorKind::kBadFrame, kPlace, "there is none");
  return Decompress(*transfer.payload, kMaxDocumentBytes);
}

// Seals the document.
// @return the document, or kDigestMismatch when its version differs from the one in the transfer.
template <class Document>
Result<std::shared_ptr<const Document>> SealAndVerify(const Transfer& transfer, Document document) {
  Seal(document);
  if (!(document.version == transfer.version)) {
    return Fail(ErrorKind::kDigestMismatch, "version " + ToString(transfer.version),
                "the content does not have the digest stated");
  }
  return std::make_shared<const Document>(std::move(document));
}

Bundle ReadBundle(DocumentReader& reader, const Bundle* base) {
  Bundle bundle;
  if (base == nullptr) {
    bundle.table.rows = ReadRows(reader);
    bundle.services = ReadServices(reader);
    bundle.secrets = ReadSecrets(reader);
  } else {
    ListDelta<RouteRow> rows{ReadRows(reader), ReadNames(reader)};
    bundle.table.rows = Apply(base->table.rows, std::move(rows), &RouteRow::route);
    MapDelta<ServiceSettings> services{ReadServices(reader), ReadNames(reader)};
    bundle.services = Apply(base->services, std::move(services));
    MapDelta<std::string> secrets{ReadSecrets(reader), ReadNames(reader)};
    bundle.secrets = Apply(base->secrets, std::move(secrets));
  }
  reader.ExpectEnd();
  return bundle;
}

MachineList ReadMachineList(DocumentReader& reader, const MachineList* base) {
  MachineList list;
  if (base == nullptr) {
    list.machines = ReadMachines(reader);
  } else {
    ListDelta<Machine> machines{ReadMachines(reader), ReadNames(reader)};
    list.machines = Apply(base->machines, std::move(machines), &Machine::id);
  }
  reader.ExpectEnd();
  return list;
}

}  // namespace

Transfer EncodeFull(const Bundle& bundle) {
  DocumentWriter writer;
  WriteRows(writer, bundle.table.rows);
  WriteServices(writer, bundle.services);
  WriteSecrets(writer, bundle.secrets);
  return MakeTransfer(StreamKind::kConfiguration, bundle.version, {}, writer);
}

Transfer EncodeFull(const MachineList& list) {
  DocumentWriter writer;
  WriteMachines(writer, list.machines);
  return MakeTransfer(StreamKind::kMachines, list.version, {}, writer);
}

Transfer EncodeDelta(const Bundle& base, const Bundle& target) {
  DocumentWriter writer;
  const auto rows = DeltaOf(base.table.rows, target.table.rows, &RouteRow::route);
  WriteRows(writer, rows.changed);
  WriteNames(writer, rows.removed);
  const auto services = DeltaOf(base.services, target.services);
  WriteServices(writer, services.changed);
  WriteNames(writer, services.removed);
  const auto secrets = DeltaOf(base.secrets, target.secrets);
  WriteSecrets(writer, secrets.changed);
  WriteNames(writer, secrets.removed);
  return MakeTransfer(StreamKind::kConfiguration, target.version, base.version, writer);
}

Transfer EncodeDelta(const MachineList& base, const MachineList& target) {
  DocumentWriter writer;
  const auto machines = DeltaOf(base.machines, target.machines, &Machine::id);
  WriteMachines(writer, machines.changed);
  WriteNames(writer, machines.removed);
  return MakeTransfer(StreamKind::kMachines, target.version, base.version, writer);
}

Result<BundlePointer> DecodeBundle(const Transfer& transfer, const Bundle* base) {
  BOOST_LEAF_AUTO(bytes, Unpack(transfer, StreamKind::kConfiguration, base));
  try {
    DocumentReader reader(bytes);
    Bundle bundle = ReadBundle(reader, transfer.is_full() ? nullptr : base);
    bundle.revision = transfer.version.major;
    bundle.resource_epoch = transfer.version.minor;
    return SealAndVerify(transfer, std::move(bundle));
  } catch (const BadDocument& error) {
    return Fail(ErrorKind::kBadFrame, kPlace, error.what());
  }
}

Result<MachineListPointer> DecodeMachines(const Transfer& transfer, const MachineList* base) {
  BOOST_LEAF_AUTO(bytes, Unpack(transfer, StreamKind::kMachines, base));
  try {
    DocumentReader reader(bytes);
    MachineList list = ReadMachineList(reader, transfer.is_full() ? nullptr : base);
    list.sequence = transfer.version.major;
    return SealAndVerify(transfer, std::move(list));
  } catch (const BadDocument& error) {
    return Fail(ErrorKind::kBadFrame, kPlace, error.what());
  }
}

}  // namespace copperlead
