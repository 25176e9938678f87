// Structured logs by spdlog: JSON or text lines with typed fields, limited per cause.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/error.h"

namespace copperlead {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One named value of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

// Sets level ("debug", "info", "warning", "error") and format ("json", "text") of this process.
// Call once, before threads start. Logs go to standard error.
void ConfigureLogging(std::string_view level, std::string_view format);

// Writes one line. Any thread.
void Log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

// Writes one line about a failure; at most one per kind and place in each second, and the next one
// says how many were left out. Any thread.
void LogError(LogLevel level, ErrorKind kind, std::string_view place, std::string_view cause);

}  // namespace copperlead
