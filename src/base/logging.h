// Structured logging with spdlog: JSON or text lines with named fields. Lines about failures are
// rate-limited per error kind and place.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/error.h"

namespace copperlead {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// A named value in a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

// Sets the log level ("debug", "info", "warning", "error") and the format ("json", "text") of this
// process. Must be called once, before any thread starts. Logs go to standard error.
void ConfigureLogging(std::string_view level, std::string_view format);

// Writes one line. Thread-safe.
void Log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

// Writes one line about a failure. At most one line per kind and place is written each second; the
// next line written reports how many were suppressed. Thread-safe.
void LogError(LogLevel level, ErrorKind kind, std::string_view place, std::string_view cause);

}  // namespace copperlead
