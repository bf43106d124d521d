// Ports of loopback for listeners of tests that are opened later.
//
//   Settings.Listen = freeLoopback();

#ifndef IO_TESTING_FREE_PORT_H
#define IO_TESTING_FREE_PORT_H

#include <cstdint>
#include <string>

#include <QTcpServer>
#include <QUdpSocket>
#include <unistd.h>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Below the range from which the kernel takes ports for outgoing connections,
// so that none of them takes the port before its listener does. Tests that run
// at the same time begin at different places.
inline uint16_t freePort() {
  constexpr int first_port = 15000;
  constexpr int port_count = 15000;
  constexpr int ports_of_a_test = 13;
  static int Next = static_cast<int>(::getpid()) * ports_of_a_test % port_count;
  while (true) {
    auto Port = static_cast<uint16_t>(first_port + Next);
    Next = (Next + 1) % port_count;
    QTcpServer Server;
    QUdpSocket Socket;
    if (Server.listen(QHostAddress::LocalHost, Port) &&
        Socket.bind(QHostAddress::LocalHost, Port))
      return Port;
  }
}

inline address loopback(uint16_t Port) {
  return address("127.0.0.1:" + std::to_string(Port));
}

inline address freeLoopback() { return loopback(freePort()); }

} // namespace monsoonreel

#endif // IO_TESTING_FREE_PORT_H
