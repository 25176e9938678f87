// What the deciding code is told and what it asks for: the closed lists of events and actions.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "membership/message.h"
#include "snapshot/source_documents.h"

namespace copperlead {

// --- Events ---

// Time has come to NextDeadline(), or past it.
struct TimerFired {};

struct MessageReceived {
  SocketAddress from;
  std::shared_ptr<const Message> message;
};

// Answer to FetchFromSource.
struct SourceAnswered {
  enum class Status { kNew, kNotModified, kFailed };
  StreamKind stream = StreamKind::kConfiguration;
  Status status = Status::kFailed;
  std::string etag;  // For kNew: the document's; for kNotModified: the one that was sent.
  std::shared_ptr<const ConfigurationDocument> configuration;  // For kNew, kConfiguration.
  MachineListPointer machines;                                 // For kNew, kMachines.
  Error error;                                                 // For kFailed.
};

// The process was told to stop: leave the fleet in good order.
struct StopRequested {};

// An operator asked for the fleet's state: query the members that may lag.
struct StatusRequested {};

using Event =
    std::variant<TimerFired, MessageReceived, SourceAnswered, StopRequested, StatusRequested>;

// --- Actions ---

struct SendMessage {
  SocketAddress to;
  std::shared_ptr<const Message> message;
};

// Ask the source with this ETag (empty: unconditional). At most one is outstanding per stream.
struct FetchFromSource {
  StreamKind stream = StreamKind::kConfiguration;
  std::string etag;
};

// Run this bundle from now on. Never of a lower version than the one before.
struct ActivateBundle {
  BundlePointer bundle;
};

// Use this list from now on.
struct ActivateMachines {
  MachineListPointer machines;
};

// Something an operator should see in the log, once.
struct Report {
  ErrorKind kind = ErrorKind::kInternal;
  std::string place;
  std::string text;
};

using Action = std::variant<SendMessage, FetchFromSource, ActivateBundle, ActivateMachines, Report>;

}  // namespace copperlead
