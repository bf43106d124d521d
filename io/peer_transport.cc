#include "io/peer_transport.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <QDataStream>
#include <QHostAddress>
#include <QtEndian>

#include "io/clock.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

namespace {

constexpr qsizetype length_bytes = 4;
constexpr std::chrono::milliseconds watchdog_period(200);

// Read from a connection at once. Qt's own buffer has no bound by default.
constexpr qint64 read_buffer_bytes = 64 << 10;

QByteArray framed(const QByteArray &Payload) {
  QByteArray Frame(length_bytes, Qt::Uninitialized);
  qToBigEndian(static_cast<quint32>(Payload.size()), Frame.data());
  return Frame + Payload;
}

QByteArray helloOf(const node_identity &Self) {
  QByteArray Hello;
  QDataStream Stream(&Hello, QIODevice::WriteOnly);
  Stream << QByteArray::fromStdString(Self.Name.Value)
         << QByteArray::fromStdString(Self.Address.Value);
  return framed(Hello);
}

} // namespace

// One TCP connection, in either direction.
struct peer_transport::connection {
  QTcpSocket *Socket = nullptr;
  QByteArray Input;
  node_name Name; // empty until the hello came
  address Peer;   // empty until it is known
  bool Dialled = false;
  bool HelloReceived = false;
  steady_time Opened;
};

// Everything about one peer.
struct peer_transport::link {
  QTcpSocket *Socket = nullptr; // in use for sending; owned by Connections
  std::deque<QByteArray> Queue;
  int64_t QueuedBytes = 0;
  duration RedialDelay = first_redial_delay;
  steady_time RedialAt;
};

peer_transport::peer_transport(const node_identity &Identity,
                               event_sink &Target, duration Age)
    : Self(Identity), Sink(Target), IdleLinkAge(Age) {
  QObject::connect(&Server, &QTcpServer::newConnection, &Server,
                   [this] { accept(); });
  QObject::connect(&Watchdog, &QTimer::timeout, &Watchdog,
                   [this] { checkTimes(); });
  Watchdog.start(watchdog_period);
}

peer_transport::~peer_transport() {
  while (!Connections.empty())
    drop(Connections.begin()->first);
}

bool peer_transport::listen() {
  auto Parts = splitAddress(Self.Address);
  return Parts &&
         Server.listen(QHostAddress(QString::fromStdString(Parts->Host)),
                       Parts->Port);
}

void peer_transport::send(const address &To,
                          const wire::peer_message &Message) {
  std::unique_ptr<link> &Slot = Links[To];
  if (!Slot)
    Slot = std::make_unique<link>();
  link &Link = *Slot;
  if (Link.Queue.size() >= max_queued_frames) {
    dequeue(Link);
    ++FramesDropped;
  }
  QByteArray Frame = framed(QByteArray::fromStdString(encodeMessage(Message)));
  Traffic[Message.index()].Sent += Frame.size();
  enqueue(Link, std::move(Frame));
  if (Link.Socket)
    return flush(Link);
  if (steadyNow() >= Link.RedialAt)
    dial(To, Link);
}

void peer_transport::enqueue(link &Link, QByteArray Frame) {
  Link.QueuedBytes += Frame.size();
  QueuedBytes += Frame.size();
  Link.Queue.push_back(std::move(Frame));
  while (QueuedBytes > Limits.HeldBytes) {
    auto Largest = std::max_element(
        Links.begin(), Links.end(), [](const auto &A, const auto &B) {
          return A.second->QueuedBytes < B.second->QueuedBytes;
        });
    dequeue(*Largest->second);
    ++FramesDropped;
  }
}

QByteArray peer_transport::dequeue(link &Link) {
  QByteArray Frame = std::move(Link.Queue.front());
  Link.Queue.pop_front();
  Link.QueuedBytes -= Frame.size();
  QueuedBytes -= Frame.size();
  return Frame;
}

void peer_transport::clearQueue(link &Link) {
  QueuedBytes -= std::exchange(Link.QueuedBytes, 0);
  Link.Queue.clear();
}

void peer_transport::resetLink(const address &To) {
  std::vector<QTcpSocket *> Closing;
  for (const auto &[Socket, Connection] : Connections)
    if (Connection->Peer == To)
      Closing.push_back(Socket);
  for (QTcpSocket *Socket : Closing)
    drop(Socket);
  if (auto It = Links.find(To); It != Links.end())
    It->second->RedialAt = {};
}

peer_transport::connection &peer_transport::track(QTcpSocket *Socket) {
  auto Connection = std::make_unique<connection>();
  Connection->Socket = Socket;
  Connection->Opened = steadyNow();
  Socket->setReadBufferSize(read_buffer_bytes);
  connection &Tracked = *Connection;
  Connections[Socket] = std::move(Connection);
  QObject::connect(Socket, &QTcpSocket::readyRead, &Server,
                   [this, Socket] { onInput(Socket); });
  QObject::connect(Socket, &QTcpSocket::disconnected, &Server,
                   [this, Socket] { onClosed(Socket); });
  QObject::connect(Socket, &QTcpSocket::errorOccurred, &Server,
                   [this, Socket] { onClosed(Socket); });
  QObject::connect(Socket, &QTcpSocket::bytesWritten, &Server,
                   [this, Socket](qint64 Bytes) {
                     BytesSent += Bytes;
                     auto It = Connections.find(Socket);
                     if (It == Connections.end())
                       return;
                     auto Link = Links.find(It->second->Peer);
                     if (Link != Links.end() && Link->second->Socket == Socket)
                       flush(*Link->second);
                   });
  return Tracked;
}

void peer_transport::accept() {
  while (QTcpSocket *Socket = Server.nextPendingConnection()) {
    if (Connections.size() >= Limits.Connections && !evictUnnamed()) {
      Socket->abort();
      Socket->deleteLater();
      continue;
    }
    Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    track(Socket);
    onInput(Socket);
  }
}

// A connection that has not named its peer yet is dropped for a new one:
// otherwise connections that send nothing keep peers out.
bool peer_transport::evictUnnamed() {
  connection *Oldest = nullptr;
  for (const auto &[Socket, Connection] : Connections)
    if (!Connection->Dialled && !Connection->HelloReceived &&
        (!Oldest || Connection->Opened < Oldest->Opened))
      Oldest = Connection.get();
  if (Oldest)
    drop(Oldest->Socket);
  return Oldest != nullptr;
}

void peer_transport::dial(const address &To, link &Link) {
  auto Parts = splitAddress(To);
  if (!Parts) {
    clearQueue(Link);
    return;
  }
  auto *Socket = new QTcpSocket(&Server);
  connection &Connection = track(Socket);
  Connection.Peer = To;
  Connection.Dialled = true;
  Link.Socket = Socket;
  QObject::connect(Socket, &QTcpSocket::connected, &Server,
                   [this, To] { onConnected(To); });
  Socket->connectToHost(QString::fromStdString(Parts->Host), Parts->Port);
}

void peer_transport::onConnected(const address &To) {
  auto It = Links.find(To);
  if (It == Links.end() || !It->second->Socket)
    return;
  link &Link = *It->second;
  Link.RedialDelay = first_redial_delay;
  Link.Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  Link.Socket->write(helloOf(Self));
  flush(Link);
}

void peer_transport::onClosed(QTcpSocket *Socket) {
  if (Connections.contains(Socket))
    drop(Socket);
}

void peer_transport::drop(QTcpSocket *Socket) {
  auto It = Connections.find(Socket);
  std::unique_ptr<connection> Connection = std::move(It->second);
  Connections.erase(It);
  InputBytes -= Connection->Input.size();
  Socket->disconnect(&Server);
  Socket->abort();
  Socket->deleteLater();
  auto Found = Links.find(Connection->Peer);
  if (Found == Links.end() || Found->second->Socket != Socket)
    return;
  link &Link = *Found->second;
  Link.Socket = nullptr;
  // What waited is stale by the time that a new connection stands.
  FramesDropped += static_cast<int64_t>(Link.Queue.size());
  clearQueue(Link);
  Link.RedialAt = steadyNow() + Link.RedialDelay;
  Link.RedialDelay = std::min(Link.RedialDelay * 2, last_redial_delay);
}

void peer_transport::onInput(QTcpSocket *Socket) {
  auto It = Connections.find(Socket);
  if (It == Connections.end())
    return;
  QByteArray Read = Socket->readAll();
  BytesReceived += Read.size();
  It->second->Input += Read;
  InputBytes += Read.size();
  takeFrames(Socket);
  boundInput();
}

void peer_transport::boundInput() {
  while (InputBytes > Limits.HeldBytes) {
    auto Largest = std::max_element(Connections.begin(), Connections.end(),
                                    [](const auto &A, const auto &B) {
                                      return A.second->Input.size() <
                                             B.second->Input.size();
                                    });
    drop(Largest->first);
  }
}

void peer_transport::takeFrames(QTcpSocket *Socket) {
  while (true) {
    // Taking a frame may close this connection.
    auto It = Connections.find(Socket);
    if (It == Connections.end())
      return;
    connection &From = *It->second;
    if (From.Input.size() < length_bytes)
      return;
    size_t Length = qFromBigEndian<quint32>(From.Input.constData());
    bool ExpectsHello = !From.Dialled && !From.HelloReceived;
    if (Length > (ExpectsHello ? max_hello_bytes : max_frame_bytes))
      return drop(Socket);
    auto FrameEnd = length_bytes + static_cast<qsizetype>(Length);
    if (From.Input.size() < FrameEnd)
      return;
    QByteArray Frame = From.Input.mid(length_bytes, FrameEnd - length_bytes);
    From.Input.remove(0, FrameEnd);
    InputBytes -= FrameEnd;
    bool Taken = ExpectsHello ? takeHello(From, Frame) : takeFrame(From, Frame);
    if (!Taken)
      return drop(Socket);
  }
}

bool peer_transport::takeHello(connection &From, const QByteArray &Frame) {
  QDataStream Stream(Frame);
  QByteArray Name;
  QByteArray Address;
  Stream >> Name >> Address;
  From.Name = node_name(Name.toStdString());
  address Peer(Address.toStdString());
  if (Stream.status() != QDataStream::Ok || From.Name.empty() ||
      !splitAddress(Peer))
    return false;
  From.HelloReceived = true;
  From.Peer = Peer;
  std::unique_ptr<link> &Link = Links[Peer];
  if (!Link)
    Link = std::make_unique<link>();
  // A peer that dials anew has given its former connection up.
  QTcpSocket *Former = std::exchange(Link->Socket, From.Socket);
  auto It = Connections.find(Former);
  if (It != Connections.end() && !It->second->Dialled)
    drop(Former);
  else if (Former)
    Link->Socket = Former;
  flush(*Link);
  return true;
}

bool peer_transport::takeFrame(connection &From, const QByteArray &Frame) {
  auto Message = decodeMessage(Frame.toStdString());
  if (!Message)
    return false;
  Traffic[Message->index()].Received += length_bytes + Frame.size();
  Sink.post(peer_message_received{From.Name, From.Peer, std::move(*Message)});
  return true;
}

void peer_transport::flush(link &Link) {
  while (!Link.Queue.empty() && Link.Socket &&
         Link.Socket->state() == QAbstractSocket::ConnectedState &&
         Link.Socket->bytesToWrite() < max_socket_bytes) {
    Link.Socket->write(dequeue(Link));
  }
}

void peer_transport::checkTimes() {
  steady_time Now = steadyNow();
  std::vector<QTcpSocket *> Late;
  for (const auto &[Socket, Connection] : Connections) {
    bool Dialling = Connection->Dialled &&
                    Socket->state() != QAbstractSocket::ConnectedState;
    bool Unnamed = !Connection->Dialled && !Connection->HelloReceived;
    if ((Dialling && Now - Connection->Opened > dial_timeout) ||
        (Unnamed && Now - Connection->Opened > hello_timeout))
      Late.push_back(Socket);
  }
  for (QTcpSocket *Socket : Late)
    drop(Socket);
  absl::erase_if(Links, [this, Now](const auto &Item) {
    return !Item.second->Socket && Item.second->Queue.empty() &&
           Now - Item.second->RedialAt > IdleLinkAge;
  });
}

} // namespace monsoonreel
