// The data paths of a fault proxy: a TCP forwarder and a UDP forwarder on the same port.
// Their threads run until the process ends.
#pragma once

#include <optional>

#include "base/address.h"
#include "standin/fault.h"

namespace copperlead::standin {

// Sockets bound to one port.
struct ForwarderSockets {
  int tcp = -1;
  int udp = -1;  // -1 unless UDP was asked for.
  SocketAddress address;
};

// @return nothing when the address cannot be bound.
std::optional<ForwarderSockets> BindForwarder(const SocketAddress& listen, bool with_udp);

// Start forwarding to `target`. The board must outlive the process's threads.
void StartTcpForwarder(const ForwarderSockets& sockets, const SocketAddress& target,
                       FaultBoard& board);
void StartUdpForwarder(const ForwarderSockets& sockets, const SocketAddress& target,
                       FaultBoard& board);

}  // namespace copperlead::standin
