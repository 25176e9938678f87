#include "snapshot/bundle.h"

#include <set>
#include <string>
#include <vector>

#include "snapshot/document_writer.h"

namespace copperlead {
namespace {

// Copies the entry `name` from `running` to `target` when `target` lacks it and `running` has it.
template <class Value>
void RetainReferenced(const std::string& name, std::map<std::string, Value>& target,
                      const std::map<std::string, Value>& running) {
  if (target.contains(name)) return;
  const auto found = running.find(name);
  if (found != running.end()) target.insert(*found);
}

std::uint64_t ContentHashOfBundle(const Bundle& bundle) {
  DocumentWriter writer;
  writer.WriteRawBytes(bundle.table_digest);
  WriteServices(writer, bundle.services);
  WriteSecrets(writer, bundle.secrets);
  return ContentHashOf(writer.Take());
}

}  // namespace

void Seal(Bundle& bundle) {
  Canonicalize(bundle.table);
  bundle.table_digest = DigestOf(bundle.table);
  bundle.version = {bundle.revision, bundle.resource_epoch, ContentHashOfBundle(bundle)};
}

std::vector<std::string> FindMissingResources(const Bundle& bundle) {
  std::set<std::string> services;
  std::set<std::string> secrets;
  for (const auto& row : bundle.table.rows) {
    if (!bundle.services.contains(row.service)) services.insert(row.service);
    if (!row.secret.empty() && !bundle.secrets.contains(row.secret)) secrets.insert(row.secret);
  }
  std::vector<std::string> missing;
  missing.reserve(services.size() + secrets.size());
  for (const auto& name : services) missing.push_back("service " + name);
  for (const auto& name : secrets) missing.push_back("secret " + name);
  return missing;
}

void RetainReferencedResources(Bundle& bundle, const Bundle& running) {
  for (const auto& row : bundle.table.rows) {
    RetainReferenced(row.service, bundle.services, running.services);
    if (!row.secret.empty()) RetainReferenced(row.secret, bundle.secrets, running.secrets);
  }
}

}  // namespace copperlead
