// The inputs and outputs of an Agent: the closed lists of events and actions.
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

// The time of NextDeadline() has been reached or passed.
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
  // ETag of the document for kNew, and the ETag that was sent for kNotModified.
  std::string etag;
  std::shared_ptr<const ConfigurationDocument> configuration;  // Set for kNew of kConfiguration.
  MachineListPointer machines;                                 // Set for kNew of kMachines.
  Error error;                                                 // Set for kFailed.
};

// The process was asked to stop: the node announces that it leaves the fleet.
struct StopRequested {};

// An operator asked for the state of the fleet: the node queries the members that may lag.
struct StatusRequested {};

using Event =
    std::variant<TimerFired, MessageReceived, SourceAnswered, StopRequested, StatusRequested>;

// --- Actions ---

struct SendMessage {
  SocketAddress to;
  std::shared_ptr<const Message> message;
};

// Read a document from the source with this ETag, or unconditionally if it is empty. At most one
// read per stream is outstanding.
struct FetchFromSource {
  StreamKind stream = StreamKind::kConfiguration;
  std::string etag;
};

// Run this bundle from now on. Its version is never lower than that of the previous one.
struct ActivateBundle {
  BundlePointer bundle;
};

// Use this list from now on.
struct ActivateMachines {
  MachineListPointer machines;
};

// A log entry for operators, emitted once.
struct Report {
  ErrorKind kind = ErrorKind::kInternal;
  std::string place;
  std::string text;
};

using Action = std::variant<SendMessage, FetchFromSource, ActivateBundle, ActivateMachines, Report>;

}  // namespace copperlead
