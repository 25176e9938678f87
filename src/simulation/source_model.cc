#include "simulation/source_model.h"

#include <algorithm>

namespace copperlead::simulation {
namespace {

constexpr Duration kServiceTime = Milliseconds(2);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr std::size_t kAnswerHeadBytes = 220;
constexpr Duration kLoadWindow = std::chrono::seconds(1);

}  // namespace

SourceModel::SourceModel(const Topology& topology, std::uint64_t seed)
    : topology_(topology), random_(DeriveSeed(seed, RandomStream::kSource)) {}

void SourceModel::Publish(const PublishedConfiguration& configuration) {
  Register(configuration);
  configurations_.push_back(configuration);
}

void SourceModel::Publish(const PublishedMachines& machines) { machines_ = machines; }

void SourceModel::BeginConflict(const PublishedConfiguration& other) {
  Register(other);
  conflicting_ = other;
}

SourceReading SourceModel::Read(Timestamp now, NodeIndex node, const FetchFromSource& request) {
  CountRead(now);
  if (outage_) return Fail(request.stream);

  SourceReading reading;
  reading.service_time = kServiceTime + extra_service_time_;
  reading.answer_bytes = kAnswerHeadBytes;
  reading.answer.stream = request.stream;
  reading.answer.status = SourceAnswered::Status::kNew;
  std::size_t body_bytes = 0;
  if (request.stream == StreamKind::kMachines) {
    reading.answer.etag = machines_.etag;
    reading.answer.machines = machines_.list;
    body_bytes = machines_.body_bytes;
  } else {
    const PublishedConfiguration& configuration = ConfigurationFor(node);
    reading.answer.etag = configuration.etag;
    reading.answer.configuration = configuration.document;
    body_bytes = configuration.body_bytes;
  }
  if (reading.answer.etag == request.etag) {
    reading.answer.status = SourceAnswered::Status::kNotModified;
    reading.answer.configuration.reset();
    reading.answer.machines.reset();
    return reading;
  }
  reading.answer_bytes += body_bytes;
  return reading;
}

bool SourceModel::WasPublished(std::uint64_t revision, const Digest& table_digest) const {
  const auto found = tables_.find(revision);
  if (found == tables_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const TableRecord& record) { return record.digest == table_digest; });
}

bool SourceModel::WasFaultless(std::uint64_t revision, const Digest& table_digest) const {
  const auto found = tables_.find(revision);
  if (found == tables_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(), [&](const TableRecord& record) {
    return record.faultless && record.digest == table_digest;
  });
}

void SourceModel::ResetLoad() {
  load_ = {};
  last_second_.clear();
}

void SourceModel::Register(const PublishedConfiguration& configuration) {
  const std::uint64_t revision = configuration.revision();
  tables_[revision].push_back(TableRecord{configuration.document->bundle.table_digest,
                                          configuration.document->faults.empty()});
  if (configuration.acceptable) newest_acceptable_ = std::max(newest_acceptable_, revision);
}

void SourceModel::CountRead(Timestamp now) {
  ++load_.reads;
  last_second_.push_back(now);
  while (last_second_.front() + kLoadWindow <= now) last_second_.pop_front();
  load_.peak_per_second = std::max(load_.peak_per_second, last_second_.size());
}

const PublishedConfiguration& SourceModel::ConfigurationFor(NodeIndex node) const {
  if (conflicting_ && topology_.ZoneOf(node) % 2 == 1) return *conflicting_;
  const std::size_t back = std::min(versions_back_, configurations_.size() - 1);
  return configurations_[configurations_.size() - 1 - back];
}

SourceReading SourceModel::Fail(StreamKind stream) {
  // A dead service refuses at once; a dead machine lets the connection time out.
  const bool refused = random_.Chance(0.5);
  SourceReading reading;
  reading.service_time = refused ? Duration{} : kConnectTimeout;
  reading.answer.stream = stream;
  reading.answer.status = SourceAnswered::Status::kFailed;
  reading.answer.error =
      refused ? Error{ErrorKind::kSourceUnreachable, "source", "connection refused"}
              : Error{ErrorKind::kSourceTimeout, "source", "no connection within 1000 ms"};
  return reading;
}

}  // namespace copperlead::simulation
