// Messages to other entries as single datagrams.
//
//   datagram_port Port(Self.Address, Sink);
//   Port.bind();
//   Port.send(Addresses, Message);
//
// For what is said again soon, such as reports: a datagram that is lost, or
// that can't be sent at once, is not repeated. It costs one call to the kernel
// where a connection costs several wakings of the event loop, which matters
// when some hundred entries tell each other of their work.
//
// The port has the number of the entry's peer listener, so a datagram's sender
// is known by the address that the membership has for it.

#ifndef IO_DATAGRAM_PORT_H
#define IO_DATAGRAM_PORT_H

#include <cstdint>
#include <utility>
#include <vector>

#include <QUdpSocket>

#include "absl/container/flat_hash_map.h"

#include "io/event_sink.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// The largest message that is sent; IP carries 65,507 bytes in a datagram.
constexpr qsizetype max_datagram_bytes = 60000;

class datagram_port {
public:
  datagram_port(const address &Own, event_sink &Target);
  datagram_port(const datagram_port &) = delete;
  datagram_port &operator=(const datagram_port &) = delete;

  bool bind();
  void send(const std::vector<address> &To, const wire::peer_message &Message);
  // Datagrams since the last call that the kernel did not take, that were too
  // large, or whose address is none.
  int64_t takeUnsent() { return std::exchange(Unsent, 0); }
  // Datagrams since the last call that hold no message.
  int64_t takeUnreadable() { return std::exchange(Unreadable, 0); }

private:
  struct endpoint {
    QHostAddress Host;
    uint16_t Port = 0;
  };
  const endpoint *endpointOf(const address &To);
  void onReadable();

  address Self;
  event_sink &Sink;
  QUdpSocket Socket;
  absl::flat_hash_map<address, endpoint> Endpoints;
  int64_t Unsent = 0;
  int64_t Unreadable = 0;
};

} // namespace monsoonreel

#endif // IO_DATAGRAM_PORT_H
