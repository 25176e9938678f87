#include "proxy/body_reader.h"

#include <algorithm>
#include <charconv>

namespace copperlead {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
// In bytes, including chunk extensions, which are ignored.
constexpr std::size_t kMaxChunkLine = 512;
constexpr std::size_t kMaxTrailerBytes = std::size_t{8} * 1024;  // Total for all trailer lines.
constexpr std::size_t kMaxSizeDigits = 15;

}  // namespace

BodyReader::BodyReader(SocketStream& stream, BodyFraming framing)
    : stream_(stream), framing_(framing), state_(State::kData), remaining_(framing.length) {
  if (framing.kind == BodyKind::kNone) state_ = State::kEnded;
  if (framing.kind == BodyKind::kChunked) state_ = State::kChunkSize;
}

BodyStep BodyReader::Next(const IoLimits& limits) {
  stream_.Consume(last_piece_size_);
  last_piece_size_ = 0;
  for (;;) {
    if (state_ == State::kEnded) return {BodyStatus::kEnd, IoStatus::kOk, {}};
    if (state_ == State::kMalformed) return {BodyStatus::kMalformed, IoStatus::kOk, {}};
    const bool has_bytes = !stream_.buffered().empty();
    if (state_ == State::kData && has_bytes) return TakePiece();
    if (state_ != State::kData && has_bytes && ParseFramingLine()) continue;
    const IoStatus status = stream_.Fill(limits);
    if (status != IoStatus::kOk) return EndOfStream(status);
  }
}

BodyStep BodyReader::TakePiece() {
  std::string_view piece = stream_.buffered();
  if (framing_.kind != BodyKind::kUntilClose) {
    piece = piece.substr(
        0, static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, piece.size())));
    remaining_ -= piece.size();
    if (remaining_ == 0) {
      state_ = framing_.kind == BodyKind::kChunked ? State::kChunkEnd : State::kEnded;
    }
  }
  last_piece_size_ = piece.size();
  return {BodyStatus::kPiece, IoStatus::kOk, piece};
}

BodyStep BodyReader::EndOfStream(IoStatus status) {
  if (framing_.kind == BodyKind::kUntilClose && status == IoStatus::kEnd) {
    state_ = State::kEnded;
    return {BodyStatus::kEnd, IoStatus::kOk, {}};
  }
  return {BodyStatus::kFailed, status, {}};
}

bool BodyReader::ParseFramingLine() {
  const std::string_view bytes = stream_.buffered();
  const auto end = bytes.find(kLineEnd);
  const std::string_view line = bytes.substr(0, end);
  const bool stray_line_end =
      line.find('\n') != std::string_view::npos ||
      line.substr(0, std::max<std::size_t>(line.size(), 1) - 1).find('\r') !=
          std::string_view::npos;
  const bool data_after_chunk = state_ == State::kChunkEnd && !line.empty() && line != "\r";
  if (line.size() > kMaxChunkLine || stray_line_end || data_after_chunk) {
    state_ = State::kMalformed;
    return true;
  }
  if (end == std::string_view::npos) return false;
  if (state_ == State::kChunkSize) {
    ParseChunkSize(line);
  } else if (state_ == State::kChunkEnd) {
    state_ = State::kChunkSize;
  } else {
    trailer_bytes_ += line.size();
    if (line.empty()) {
      state_ = State::kEnded;
    } else if (!IsFieldLine(line) || trailer_bytes_ > kMaxTrailerBytes) {
      state_ = State::kMalformed;
    }
  }
  stream_.Consume(end + kLineEnd.size());
  return true;
}

void BodyReader::ParseChunkSize(std::string_view line) {
  constexpr int kHexadecimal = 16;
  std::string_view digits = line.substr(0, line.find(';'));
  while (!digits.empty() && (digits.back() == ' ' || digits.back() == '\t')) {
    digits.remove_suffix(1);
  }
  const char* const end = digits.data() + digits.size();
  const auto [stop, code] = std::from_chars(digits.data(), end, remaining_, kHexadecimal);
  if (digits.empty() || !IsFieldValue(line) || digits.size() > kMaxSizeDigits ||
      code != std::errc() || stop != end) {
    state_ = State::kMalformed;
    return;
  }
  state_ = remaining_ == 0 ? State::kTrailer : State::kData;
}

}  // namespace copperlead
