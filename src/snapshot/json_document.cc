#include "snapshot/json_document.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "table/cell.h"

namespace copperlead {
namespace {

using nlohmann::json;

// Iterates over a text and counts the characters read in a counter that all copies share.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* position, std::size_t* consumed)
      : position_(position), consumed_(consumed) {}

  reference operator*() const { return *position_; }
  CountingIterator& operator++() {
    ++position_;
    ++*consumed_;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const CountingIterator& other) const { return position_ == other.position_; }
  bool operator!=(const CountingIterator& other) const { return position_ != other.position_; }

 private:
  const char* position_;
  std::size_t* consumed_;
};

// Thrown by ParseGuard through the JSON parser when it rejects the text; caught in this file.
struct GuardRejection {
  std::string cause;
};

// Handles the parser's events: limits the nesting depth and the number of values, rejects duplicate
// keys, and records the position at which the value at `target` is found.
class ParseGuard {
 public:
  explicit ParseGuard(const std::size_t* consumed, const JsonPointer* target = nullptr)
      : consumed_(consumed), target_(target) {}

  bool OnEvent(json::parse_event_t event, const json& value) {
    switch (event) {
      case json::parse_event_t::key:
        OnKey(value.get_ref<const std::string&>());
        break;
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        OnValue();
        PushLevel(event == json::parse_event_t::array_start);
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        levels_.pop_back();
        break;
      case json::parse_event_t::value:
        OnValue();
        break;
    }
    return true;
  }

  // Number of bytes that had been read when the target was found.
  std::optional<std::size_t> target_offset() const { return target_offset_; }

 private:
  struct Level {
    bool is_array = false;
    std::size_t items = 0;       // In an array: number of items started.
    std::string key;             // In an object: the current key.
    std::set<std::string> keys;  // In an object: all keys read so far.
  };

  void PushLevel(bool is_array) {
    if (levels_.size() == kMaxJsonDepth) {
      throw GuardRejection{"nested deeper than " + std::to_string(kMaxJsonDepth) + " levels"};
    }
    levels_.push_back({is_array, 0, {}, {}});
  }

  void OnKey(const std::string& key) {
    Level& level = levels_.back();
    if (!level.keys.insert(key).second)
      throw GuardRejection{"the key before this place stands twice"};
    level.key = key;
    if (target_ != nullptr) CheckForTarget();
  }

  void OnValue() {
    if (++values_ > kMaxJsonValues) {
      throw GuardRejection{"more than " + std::to_string(kMaxJsonValues) + " values"};
    }
    if (levels_.empty() || !levels_.back().is_array) return;
    ++levels_.back().items;
    if (target_ != nullptr) CheckForTarget();
  }

  void CheckForTarget() {
    if (target_offset_) return;
    JsonPointer current;
    for (const Level& level : levels_) {
      current.push_back(level.is_array ? std::to_string(level.items - 1) : level.key);
    }
    if (current == *target_) target_offset_ = *consumed_;
  }

  const std::size_t* consumed_;
  const JsonPointer* target_;
  std::optional<std::size_t> target_offset_;
  std::size_t values_ = 0;
  std::vector<Level> levels_;
};

json ParseWithGuard(std::string_view text, std::size_t& consumed, ParseGuard& guard) {
  const CountingIterator begin(text.data(), &consumed);
  const CountingIterator end(text.data() + text.size(), &consumed);
  return json::parse(begin, end, [&](int, json::parse_event_t event, json& value) {
    return guard.OnEvent(event, value);
  });
}

// @param bytes_read number of bytes read, including the faulty one.
// @return the position of the last of these bytes.
TextPosition PositionAfter(std::string_view text, std::size_t bytes_read) {
  const std::size_t byte = std::clamp<std::size_t>(bytes_read, 1, text.size() + 1);
  const auto before = text.substr(0, byte - 1);
  return {static_cast<std::size_t>(std::ranges::count(before, '\n')) + 1, byte};
}

// Parses `text`, which is known to be valid, again to find the offset of the value at `pointer`.
std::optional<std::size_t> Locate(std::string_view text, const JsonPointer& pointer) {
  std::size_t consumed = 0;
  ParseGuard guard(&consumed, &pointer);
  ParseWithGuard(text, consumed, guard);
  return guard.target_offset();
}

}  // namespace

std::string ToString(const TextPosition& position) {
  return "line " + std::to_string(position.line) + ", byte " + std::to_string(position.byte);
}

Result<JsonDocument> JsonDocument::Parse(std::string_view text, std::size_t limit) {
  if (text.size() > limit) {
    return Fail(
        ErrorKind::kOversized, "body",
        std::to_string(text.size()) + " bytes, at most " + std::to_string(limit) + " are allowed");
  }
  JsonDocument document;
  document.text_ = text;
  std::size_t consumed = 0;
  ParseGuard guard(&consumed);
  try {
    document.root_ = std::make_shared<const json>(ParseWithGuard(text, consumed, guard));
  } catch (const GuardRejection& rejection) {
    return Fail(ErrorKind::kMalformedJson, ToString(PositionAfter(text, consumed)),
                rejection.cause);
  } catch (const json::exception& error) {
    const auto* const parse_error = dynamic_cast<const json::parse_error*>(&error);
    const std::size_t byte = parse_error == nullptr ? consumed : parse_error->byte;
    const std::string cause =
        byte > text.size() ? "the text ends too early" : "not valid JSON (RFC 8259) from here on";
    return Fail(ErrorKind::kMalformedJson, ToString(PositionAfter(text, byte)), cause);
  }
  return document;
}

boost::leaf::error_id JsonDocument::FailAt(ErrorKind kind, const JsonPointer& pointer,
                                           const std::string& cause) const {
  JsonPointer present = pointer;
  while (!present.empty() && !root_->contains(present)) present = present.parent_pointer();
  const std::size_t offset = present.empty() ? 1 : Locate(text_, present).value_or(1);
  const std::string name = pointer.empty() ? "the whole body" : Quote(pointer.to_string());
  return Fail(kind, ToString(PositionAfter(text_, offset)) + ": " + name, cause);
}

Result<const json*> JsonDocument::Get(const JsonPointer& pointer) const {
  if (!root_->contains(pointer)) return FailAt(ErrorKind::kMalformedJson, pointer, "is missing");
  return &root_->at(pointer);
}

Result<const json*> JsonDocument::GetObject(const JsonPointer& pointer) const {
  BOOST_LEAF_AUTO(value, Get(pointer));
  if (!value->is_object()) {
    return FailAt(ErrorKind::kMalformedJson, pointer,
                  "must be an object, is " + std::string(value->type_name()));
  }
  return value;
}

Result<const json*> JsonDocument::GetArray(const JsonPointer& pointer) const {
  BOOST_LEAF_AUTO(value, Get(pointer));
  if (!value->is_array()) {
    return FailAt(ErrorKind::kMalformedJson, pointer,
                  "must be an array, is " + std::string(value->type_name()));
  }
  return value;
}

Result<std::string> JsonDocument::GetString(const JsonPointer& pointer) const {
  BOOST_LEAF_AUTO(value, Get(pointer));
  if (!value->is_string()) {
    return FailAt(ErrorKind::kMalformedJson, pointer,
                  "must be a string, is " + std::string(value->type_name()));
  }
  return value->get<std::string>();
}

Result<std::uint64_t> JsonDocument::GetUint64(const JsonPointer& pointer, ErrorKind kind,
                                              std::uint64_t minimum, std::uint64_t maximum) const {
  BOOST_LEAF_AUTO(value, Get(pointer));
  const bool whole = value->is_number_unsigned();
  const std::uint64_t number = whole ? value->get<std::uint64_t>() : 0;
  if (!whole || number < minimum || number > maximum) {
    return FailAt(
        kind, pointer,
        "must be a whole number, " + std::to_string(minimum) + " to " + std::to_string(maximum));
  }
  return number;
}

}  // namespace copperlead
