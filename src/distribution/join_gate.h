// The bounded wait for peers before a node activates anything: at start and after a pause.
// Membership asks them, and asks again; this only counts who answered.
#pragma once

#include <cstddef>
#include <set>

#include "base/time.h"
#include "membership/member.h"

namespace copperlead {

class JoinGate {
 public:
  // @param wait the longest wait. @param quorum distinct peers whose answers end it early.
  JoinGate(Duration wait, std::size_t quorum) : wait_(wait), quorum_(quorum) {}

  // Starts to wait; answers heard before count no more.
  void Begin(Timestamp now) {
    waiting_ = true;
    started_ = now;
    answered_.clear();
    heard_fleet_ = false;
  }

  // Any message of a peer.
  void HearMessage() { heard_fleet_ = true; }

  void HearReply(const NodeId& from) {
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
  // True once any peer was heard since Begin.
  bool heard_fleet() const { return heard_fleet_; }
  // True when the last wait ended without any answer.
  bool unverified() const { return unverified_; }
  Timestamp NextDeadline() const { return waiting_ ? started_ + wait_ : Timestamp::max(); }

 private:
  Duration wait_;
  std::size_t quorum_;
  bool waiting_ = false;
  bool unverified_ = false;
  bool heard_fleet_ = false;
  Timestamp started_{};
  std::set<NodeId> answered_;
};

}  // namespace copperlead
