#include "toolbox/table_file.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <set>
#include <tuple>
#include <utility>

#include "snapshot/source_documents.h"
#include "table/validate.h"

namespace copperlead {
namespace {

template <class Value>
std::set<std::string> NamesOf(const std::map<std::string, Value>& values) {
  std::set<std::string> names;
  for (const auto& entry : values) names.insert(entry.first);
  return names;
}

bool LooksLikeJson(const std::string& content) {
  const auto first = content.find_first_not_of(" \t\r\n");
  return first != std::string::npos && content[first] == '{';
}

// By place; faults of the whole table last.
void SortFaults(std::vector<TableFault>& faults) {
  std::ranges::stable_sort(faults, {}, [](const TableFault& fault) {
    return std::tuple(fault.row == 0, fault.row, fault.column);
  });
}

Result<TableFile> ReadConfigurationFile(const std::string& path, const std::string& content) {
  BOOST_LEAF_AUTO(document, ParseConfiguration(content));
  TableFile file;
  file.path = path;
  file.csv = std::move(document.csv);
  file.faults = std::move(document.faults);
  const auto unknown = FindUnknownNames(file.csv, NamesOf(document.bundle.services),
                                        NamesOf(document.bundle.secrets));
  file.faults.insert(file.faults.end(), unknown.begin(), unknown.end());
  SortFaults(file.faults);
  file.configuration = std::move(document.bundle);
  return file;
}

}  // namespace

Result<std::string> ReadInputFile(const std::string& path, std::size_t limit) {
  errno = 0;
  std::ifstream stream(path, std::ios::binary);
  std::string content(limit + 1, '\0');
  if (stream) stream.read(content.data(), static_cast<std::streamsize>(content.size()));
  if (!stream.is_open() || stream.bad()) {
    return Fail(ErrorKind::kUnreadableFile, path,
                std::string(std::strerror(errno)) + "; check the path and its permissions");
  }
  content.resize(static_cast<std::size_t>(stream.gcount()));
  if (content.size() > limit) {
    return Fail(ErrorKind::kOversized, path,
                "more than the " + std::to_string(limit) + " bytes allowed");
  }
  return content;
}

Result<TableFile> ReadTableFile(const std::string& path, TableFileKind kind) {
  BOOST_LEAF_AUTO(content, ReadInputFile(path, kMaxSourceBodyBytes));
  const bool json = kind == TableFileKind::kConfiguration ||
                    (kind == TableFileKind::kEither && LooksLikeJson(content));
  if (json) return ReadConfigurationFile(path, content);
  TableFile file;
  file.path = path;
  file.csv = ParseCsv(content);
  file.faults = file.csv.faults;
  SortFaults(file.faults);
  return file;
}

Result<TableFile> ReadSoundTableFile(const std::string& path) {
  auto outcome = Resolve([&] { return ReadTableFile(path, TableFileKind::kEither); });
  if (!outcome && outcome.error().kind == ErrorKind::kUnreadableFile) {
    return boost::leaf::new_error(outcome.error());
  }
  if (!outcome) return Fail(ErrorKind::kUsage, path, ToString(outcome.error()));
  TableFile& file = outcome.value();
  if (!file.faults.empty()) {
    const std::string option = file.configuration ? "--configuration " : "--table ";
    return Fail(ErrorKind::kUsage, path,
                ToString(file.faults.front()) + "; `copperlead check " + option + path +
                    "` shows every fault");
  }
  return std::move(file);
}

}  // namespace copperlead
