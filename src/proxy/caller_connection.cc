#include "proxy/caller_connection.h"

#include <poll.h>

#include <optional>

namespace copperlead {
namespace {

Timestamp Now() { return SteadyClock().Now(); }

enum class HeadStep : std::uint8_t { kRead, kRefused, kNoHead };

// Skips the empty lines that some callers send after a body (RFC 9112, section 2.2).
void SkipEmptyLines(SocketStream& stream) {
  while (stream.buffered().substr(0, 2) == "\r\n") stream.Consume(2);
}

// @return false when the connection ended, or the limit passed, before a request arrived.
bool AwaitRequest(const ConnectionServices& services, SocketStream& stream) {
  if (!stream.buffered().empty()) return true;
  stream.ReleaseBuffer();
  IoLimits limits{services.context.settings.idle_timeout, std::nullopt};
  limits.watched_fd = services.drain_fd;
  limits.watched_events = POLLIN;
  const IoStatus status = stream.AwaitReadable(limits);
  if (status != IoStatus::kWatched) return status == IoStatus::kOk;
  return stream.AwaitReadable({kDrainGracePeriod, std::nullopt}) == IoStatus::kOk;
}

HeadStep ReadHead(const ProxySettings& settings, SocketStream& stream, RequestHead& head,
                  RequestFault& fault) {
  const IoLimits limits{settings.header_timeout, Now() + settings.header_timeout};
  for (;;) {
    SkipEmptyLines(stream);
    const std::size_t size = FindHeadEnd(stream.buffered());
    if (HasBareLineFeed(stream.buffered().substr(0, size == 0 ? std::string_view::npos : size))) {
      fault.cause = "line end without carriage return";
      return HeadStep::kRefused;
    }
    if (size > 0) {
      const bool good = ParseRequestHead(stream.buffered().substr(0, size), head, fault.cause);
      stream.Consume(size);
      return good ? HeadStep::kRead : HeadStep::kRefused;
    }
    if (stream.full()) {
      fault = {ErrorKind::kHeadersTooLarge, "the request's head is too large"};
      return HeadStep::kRefused;
    }
    const IoStatus status = stream.Fill(limits);
    if (status == IoStatus::kTimeout || status == IoStatus::kDeadline) {
      fault.cause = "the request's head came too slowly";
      return HeadStep::kRefused;
    }
    if (status != IoStatus::kOk) return HeadStep::kNoHead;
  }
}

// Serves one request. @return what to do with the connection afterwards.
ConnectionDisposition ServeRequest(const ConnectionServices& services, SocketStream& stream,
                                   ConnectionRegistry::Entry& entry) {
  if (!AwaitRequest(services, stream)) return ConnectionDisposition::kBroken;
  RequestHead head;
  RequestFault fault;
  const HeadStep step = ReadHead(services.context.settings, stream, head, fault);
  if (step == HeadStep::kNoHead || !entry.BeginRequest()) return ConnectionDisposition::kBroken;
  if (step == HeadStep::kRefused) {
    return RequestExchange::Refuse(services.context, stream, fault);
  }
  const ConnectionDisposition end = RequestExchange(services.context, stream).Run(head);
  entry.EndRequest();
  return end;
}

}  // namespace

void ServeConnection(const ConnectionServices& services, int fd) {
  SocketStream stream(fd);
  std::optional<ConnectionRegistry::Entry> entry(std::in_place, services.registry, fd);
  ConnectionDisposition end = ConnectionDisposition::kKeep;
  while (end == ConnectionDisposition::kKeep) end = ServeRequest(services, stream, *entry);
  entry.reset();
  if (end == ConnectionDisposition::kClose) services.closer.Close(stream.Release());
}

void RefuseConnection(const ConnectionServices& services, int fd) {
  SocketStream stream(fd);
  ++services.context.answered;
  const LocalResponse answer{ErrorKind::kNotReady, "too many connections", {}, {}, true};
  const IoStatus status = stream.Write({LocalResponseMessage(answer)}, IoLimits{});
  if (status == IoStatus::kOk) services.closer.Close(stream.Release());
}

}  // namespace copperlead
