// Reads the files that `check`, `diff` and `plan` work on: tables as CSV, configurations as JSON.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "snapshot/bundle.h"
#include "table/csv.h"

namespace copperlead {

enum class TableFileKind {
  kTable,          // CSV.
  kConfiguration,  // The source's JSON document.
  kEither,         // JSON when the first character that is no white space is '{'.
};

// One file's table.
struct TableFile {
  std::string path;
  CsvTable csv;
  std::optional<Bundle> configuration;  // For JSON only.
  // By row and column. With a configuration, unknown services and secrets too.
  std::vector<TableFault> faults;
};

// Reads at most `limit` bytes. @return kUnreadableFile or kOversized naming the path.
Result<std::string> ReadInputFile(const std::string& path, std::size_t limit);

// @return the file's table, also when it has faults; kUnreadableFile, kOversized, or the error of
//         a JSON document that cannot be read at all.
Result<TableFile> ReadTableFile(const std::string& path, TableFileKind kind);

// Reads a table that must be without faults. @return kUnreadableFile, or kUsage that names the
// first fault and the command which shows them all.
Result<TableFile> ReadSoundTableFile(const std::string& path);

}  // namespace copperlead
