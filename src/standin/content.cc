#include "standin/content.h"

#include <xxhash.h>

#include <cstdio>

namespace copperlead::standin {
namespace {

constexpr std::uint64_t kWordBytes = sizeof(std::uint64_t);

// The finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::string ContentFor(std::string_view request_id, std::uint64_t offset, std::size_t length) {
  const std::uint64_t seed = XXH3_64bits(request_id.data(), request_id.size());
  std::string content(length, '\0');
  for (std::size_t index = 0; index < length; ++index) {
    const std::uint64_t position = offset + index;
    const std::uint64_t word = Mix(seed + position / kWordBytes);
    content[index] = static_cast<char>(word >> (8 * (position % kWordBytes)));
  }
  return content;
}

struct BodyHash::State {
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> hash{XXH3_createState(), XXH3_freeState};
};

BodyHash::BodyHash() : state_(std::make_unique<State>()) { XXH3_64bits_reset(state_->hash.get()); }
BodyHash::~BodyHash() = default;

void BodyHash::Add(std::string_view piece) {
  XXH3_64bits_update(state_->hash.get(), piece.data(), piece.size());
}

std::string BodyHash::Text() const {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits_digest(state_->hash.get())));
  return text;
}

std::string HashOf(std::string_view body) {
  BodyHash hash;
  hash.Add(body);
  return hash.Text();
}

}  // namespace copperlead::standin
