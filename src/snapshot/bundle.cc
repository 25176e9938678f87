#include "snapshot/bundle.h"

#include <set>
#include <string>
#include <vector>

#include "snapshot/document_writer.h"

namespace copperlead {
namespace {

// Adds every name of `names` that `target` lacks and `running` has.
template <class Value>
void KeepNamed(const std::string& name, std::map<std::string, Value>& target,
               const std::map<std::string, Value>& running) {
  if (target.contains(name)) return;
  const auto found = running.find(name);
  if (found != running.end()) target.insert(*found);
}

std::uint64_t ContentOfBundle(const Bundle& bundle) {
  DocumentWriter writer;
  writer.Bytes(bundle.table_digest);
  WriteServices(writer, bundle.services);
  WriteSecrets(writer, bundle.secrets);
  return ContentOf(writer.Take());
}

}  // namespace

void Seal(Bundle& bundle) {
  Canonicalize(bundle.table);
  bundle.table_digest = DigestOf(bundle.table);
  bundle.version = {bundle.revision, bundle.resource_epoch, ContentOfBundle(bundle)};
}

std::vector<std::string> MissingNames(const Bundle& bundle) {
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

void KeepNamedResources(Bundle& bundle, const Bundle& running) {
  for (const auto& row : bundle.table.rows) {
    KeepNamed(row.service, bundle.services, running.services);
    if (!row.secret.empty()) KeepNamed(row.secret, bundle.secrets, running.secrets);
  }
}

}  // namespace copperlead
