// Messages between the system's own processes over TCP.
//
//   peer_transport Peers(Identity, Sink);
//   if (!Peers.listen())
//     return 1;
//   Peers.send(address("10.0.1.7:7100"), Message);
//
// A frame is its length in four bytes, most significant first, and the bytes
// of one message. The first frame in each direction that was dialled names the
// sender and the address of its own listener, so that answers can go back over
// the same connection. There is at most one connection in use for each peer.
//
// Nothing is promised about delivery: while a peer can't be reached its
// messages are dropped, the oldest first. The protocols above repeat what has
// to arrive.

#ifndef IO_PEER_TRANSPORT_H
#define IO_PEER_TRANSPORT_H

#include <array>
#include <deque>
#include <limits>
#include <memory>
#include <variant>

#include <QByteArray>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "absl/container/flat_hash_map.h"

#include "io/event_sink.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Frames that wait for one peer; the oldest is dropped for a new one.
constexpr size_t max_queued_frames = 1024;
// Bytes in one socket's buffer above which frames wait in the queue.
constexpr qint64 max_socket_bytes = 1 << 20;
constexpr size_t max_hello_bytes = 512;
constexpr size_t max_incoming_links = 2048;
constexpr duration first_redial_delay = std::chrono::milliseconds(50);
constexpr duration last_redial_delay = std::chrono::seconds(2);
// A connection that has not been made by then is given up.
constexpr duration dial_timeout = std::chrono::seconds(2);
constexpr duration hello_timeout = std::chrono::seconds(5);

// A link that could not be used for so long is forgotten: its peer is gone, or
// a message makes a new one.
constexpr duration idle_link_age = std::chrono::minutes(1);

// Bounds on what peers can make a process hold.
struct peer_limits {
  size_t Connections = max_incoming_links; // above it none is accepted
  // Bytes of unfinished frames of all connections, and bytes of frames that
  // wait to be sent to all peers. What exceeds it costs the connection that
  // holds most, or the oldest frames of the peer with the most.
  int64_t HeldBytes = std::numeric_limits<int64_t>::max();
};

// Bytes of one kind of message since the start, with the frames' lengths.
struct message_bytes {
  int64_t Sent = 0; // handed over for sending, dropped ones included
  int64_t Received = 0;
};
// By the kind's place in wire::peer_message.
using message_traffic =
    std::array<message_bytes, std::variant_size_v<wire::peer_message>>;

class peer_transport {
public:
  peer_transport(const node_identity &Self, event_sink &Sink,
                 duration IdleLinkAge = idle_link_age);
  ~peer_transport();
  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  void setLimits(const peer_limits &Changed) { Limits = Changed; }
  // Listens at the node's own address. Returns false when it is taken.
  bool listen();
  void send(const address &To, const wire::peer_message &Message);
  // Closes the connections with a peer. The next message opens a new one.
  void resetLink(const address &To);

  // Totals since the start.
  int64_t bytesSent() const { return BytesSent; }
  int64_t bytesReceived() const { return BytesReceived; }
  int64_t framesDropped() const { return FramesDropped; }
  const message_traffic &traffic() const { return Traffic; }
  // Peers with a connection, or with one that is to be made anew.
  size_t linkCount() const { return Links.size(); }

private:
  struct connection;
  struct link;

  connection &track(QTcpSocket *Socket);
  void accept();
  void dial(const address &To, link &Link);
  void onConnected(const address &To);
  void onClosed(QTcpSocket *Socket);
  void onInput(QTcpSocket *Socket);
  void takeFrames(QTcpSocket *Socket);
  // Returns false when the frame breaks the protocol.
  bool takeFrame(connection &From, const QByteArray &Frame);
  bool takeHello(connection &From, const QByteArray &Frame);
  void flush(link &Link);
  // Drops the connection with the largest unfinished frame while the limit is
  // exceeded.
  void boundInput();
  void enqueue(link &Link, QByteArray Frame);
  QByteArray dequeue(link &Link);
  void clearQueue(link &Link);
  bool evictUnnamed();
  void drop(QTcpSocket *Socket);
  void checkTimes();

  node_identity Self;
  event_sink &Sink;
  duration IdleLinkAge;
  peer_limits Limits;
  int64_t InputBytes = 0;  // of unfinished frames
  int64_t QueuedBytes = 0; // of frames that wait
  QTcpServer Server;
  QTimer Watchdog;
  absl::flat_hash_map<QTcpSocket *, std::unique_ptr<connection>> Connections;
  absl::flat_hash_map<address, std::unique_ptr<link>> Links;
  int64_t BytesSent = 0;
  int64_t BytesReceived = 0;
  int64_t FramesDropped = 0;
  message_traffic Traffic;
};

} // namespace monsoonreel

#endif // IO_PEER_TRANSPORT_H
