#include "base/logging.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>

namespace copperlead {
namespace {

constexpr auto kRepeatInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxTrackedCauses = 1024;

// When a line was last written for one cause, and how many were suppressed since then.
struct CauseHistory {
  std::chrono::steady_clock::time_point last_written;
  std::uint64_t suppressed = 0;
};

struct LoggingState {
  std::mutex mutex;
  bool json = false;
  std::map<std::string, CauseHistory> causes;  // Guarded by `mutex`.
};

LoggingState& State() {
  static LoggingState state;
  return state;
}

std::shared_ptr<spdlog::logger> Logger() {
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto created = std::make_shared<spdlog::logger>(
        "copperlead", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    created->set_pattern("%v");
    return created;
  }();
  return logger;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      break;
  }
  return spdlog::level::err;
}

// @return `text` escaped for use inside a JSON string; control characters become \u00XX.
std::string EscapeJson(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
      escaped += character;
    } else if (static_cast<unsigned char>(character) < 0x20) {
      escaped += fmt::format("\\u{:04x}", static_cast<unsigned>(character));
    } else {
      escaped += character;
    }
  }
  return escaped;
}

// @return `text` with control characters escaped as \xXX, which keeps it on one line, so that text
//         from a caller cannot forge a log line.
std::string EscapeText(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (static_cast<unsigned char>(character) < 0x20) {
      escaped += fmt::format("\\x{:02x}", static_cast<unsigned>(character));
    } else {
      escaped += character;
    }
  }
  return escaped;
}

void AppendField(std::string& line, bool json, std::string_view name, std::string_view value) {
  if (json) {
    line += fmt::format(",\"{}\":\"{}\"", name, EscapeJson(value));
  } else {
    line += fmt::format(" {}={}", name, EscapeText(value));
  }
}

std::string FormatLinePrefix(bool json, LogLevel level, std::string_view message) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const auto level_name = spdlog::level::to_string_view(ToSpdlog(level));
  if (json) {
    return fmt::format("{{\"time_ms\":{},\"level\":\"{}\",\"message\":\"{}\"", milliseconds,
                       level_name, EscapeJson(message));
  }
  return fmt::format("{}.{:03} {} {}", milliseconds / 1000, milliseconds % 1000, level_name,
                     EscapeText(message));
}

// Limits the lines of one cause to one per kRepeatInterval.
// @return the number of lines of this cause that were suppressed since the last one written, or
//         -1 when this line is to be suppressed as well.
std::int64_t CountSuppressed(const std::string& cause) {
  auto& state = State();
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(state.mutex);
  if (state.causes.size() >= kMaxTrackedCauses) state.causes.clear();
  const auto [found, inserted] = state.causes.try_emplace(cause);
  auto& history = found->second;
  if (!inserted && now - history.last_written < kRepeatInterval) {
    ++history.suppressed;
    return -1;
  }
  const auto suppressed = static_cast<std::int64_t>(history.suppressed);
  history = {now, 0};
  return suppressed;
}

}  // namespace

void ConfigureLogging(std::string_view level, std::string_view format) {
  State().json = format == "json";
  Logger()->set_level(spdlog::level::from_str(std::string(level)));
}

void Log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) {
  const auto logger = Logger();
  if (!logger->should_log(ToSpdlog(level))) return;
  const bool json = State().json;
  std::string line = FormatLinePrefix(json, level, message);
  for (const auto& field : fields) AppendField(line, json, field.name, field.value);
  if (json) line += "}";
  logger->log(ToSpdlog(level), spdlog::string_view_t(line));
}

void LogError(LogLevel level, ErrorKind kind, std::string_view place, std::string_view cause) {
  const auto suppressed = CountSuppressed(std::string(Name(kind)) + '\n' + std::string(place));
  if (suppressed < 0) return;
  if (suppressed == 0) {
    Log(level, cause, {{"kind", std::string(Name(kind))}, {"place", std::string(place)}});
    return;
  }
  Log(level, cause,
      {{"kind", std::string(Name(kind))},
       {"place", std::string(place)},
       {"left_out", std::to_string(suppressed)}});
}

}  // namespace copperlead
