// Content that a test can verify without storing it: derived from a request id and an offset.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace copperlead::standin {

// @return the bytes [offset, offset + length) of the content that belongs to `request_id`.
std::string ContentFor(std::string_view request_id, std::uint64_t offset, std::size_t length);

// Hash of a body that is seen piece by piece.
class BodyHash {
 public:
  BodyHash();
  ~BodyHash();
  BodyHash(const BodyHash&) = delete;
  BodyHash& operator=(const BodyHash&) = delete;

  void Add(std::string_view piece);
  // @return 16 hexadecimal digits.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// @return the hash text of a whole body.
std::string HashOf(std::string_view body);

}  // namespace copperlead::standin
