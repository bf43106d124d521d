#include "io/datagram_port.h"

#include <utility>

#include <QNetworkDatagram>

namespace monsoonreel {

namespace {

// Entries come and go; what is known of old ones is dropped beyond this.
constexpr size_t max_endpoints = 2000;

} // namespace

datagram_port::datagram_port(const address &Own, event_sink &Target)
    : Self(Own), Sink(Target) {
  QObject::connect(&Socket, &QUdpSocket::readyRead, &Socket,
                   [this] { onReadable(); });
}

bool datagram_port::bind() {
  auto Parts = splitAddress(Self);
  return Parts && Socket.bind(QHostAddress(QString::fromStdString(Parts->Host)),
                              Parts->Port);
}

void datagram_port::send(const std::vector<address> &To,
                         const wire::peer_message &Message) {
  QByteArray Payload = QByteArray::fromStdString(encodeMessage(Message));
  for (const address &Each : To) {
    const endpoint *Endpoint = endpointOf(Each);
    bool Sent = Endpoint && Payload.size() <= max_datagram_bytes &&
                Socket.writeDatagram(Payload, Endpoint->Host, Endpoint->Port) ==
                    Payload.size();
    Unsent += Sent ? 0 : 1;
  }
}

const datagram_port::endpoint *datagram_port::endpointOf(const address &To) {
  if (auto It = Endpoints.find(To); It != Endpoints.end())
    return &It->second;
  auto Parts = splitAddress(To);
  if (!Parts)
    return nullptr;
  if (Endpoints.size() >= max_endpoints)
    Endpoints.clear();
  endpoint New{QHostAddress(QString::fromStdString(Parts->Host)), Parts->Port};
  return &(Endpoints[To] = std::move(New));
}

void datagram_port::onReadable() {
  while (Socket.hasPendingDatagrams()) {
    QNetworkDatagram Datagram = Socket.receiveDatagram();
    auto Message = decodeMessage(Datagram.data().toStdString());
    if (!Message) {
      ++Unreadable;
      continue;
    }
    address From(Datagram.senderAddress().toString().toStdString() + ":" +
                 std::to_string(Datagram.senderPort()));
    Sink.post(peer_message_received{node_name(), From, std::move(*Message)});
  }
}

} // namespace monsoonreel
