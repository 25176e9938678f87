// The bounded wait for peers before a node activates anything, at start and after a pause.
// Membership sends and repeats the join requests; this class only counts the peers that answered.
#pragma once

#include <cstddef>
#include <set>

#include "base/time.h"
#include "membership/member.h"

namespace copperlead {

class JoinGate {
 public:
  // @param wait maximum wait. @param quorum number of distinct peers whose answers end it early.
  JoinGate(Duration wait, std::size_t quorum) : wait_(wait), quorum_(quorum) {}

  // Starts to wait. Answers received earlier no longer count.
  void Begin(Timestamp now) {
    waiting_ = true;
    started_ = now;
    answered_.clear();
    has_peer_contact_ = false;
  }

  // Call for any message from a peer.
  void RecordMessage() { has_peer_contact_ = true; }

  void RecordReply(const NodeId& from) {
    if (waiting_) answered_.insert(from);
  }

  // @return true when the wait ended with this call.
  bool Update(Timestamp now) {
    if (!waiting_) return false;
    if (answered_.size() < quorum_ && now < started_ + wait_) return false;
    waiting_ = false;
    unverified_ = answered_.empty();
    return true;
  }

  bool waiting() const { return waiting_; }
  // True once a message from any peer has arrived since Begin.
  bool has_peer_contact() const { return has_peer_contact_; }
  // True when the last wait ended without any answer.
  bool unverified() const { return unverified_; }
  Timestamp NextDeadline() const { return waiting_ ? started_ + wait_ : Timestamp::max(); }

 private:
  Duration wait_;
  std::size_t quorum_;
  bool waiting_ = false;
  bool unverified_ = false;
  bool has_peer_contact_ = false;
  Timestamp started_{};
  std::set<NodeId> answered_;
};

}  // namespace copperlead
