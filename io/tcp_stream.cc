#include "io/tcp_stream.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace monsoonreel {

namespace {

constexpr size_t read_bytes = 64 << 10;

// While a caller does not read its answer, the upstream is not read either. By
// default the kernel would then receive several MB for each connection, which
// count as memory of this process. A fixed size also bounds the window and with
// it the throughput; this is the largest that Linux permits by default.
constexpr int receive_buffer_bytes = 208 << 10;

void setOption(int Socket, int Level, int Name, int Value) {
  ::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

template <typename Unit> int inUnits(duration Value) {
  return static_cast<int>(std::chrono::duration_cast<Unit>(Value).count());
}

void setOptions(int Socket) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  int Seconds = inUnits<std::chrono::seconds>(keepalive_interval);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, Seconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, Seconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            inUnits<std::chrono::milliseconds>(unacknowledged_timeout));
}

// Returns the size of the socket address, or 0 if there is none.
socklen_t socketAddress(const address &To, sockaddr_storage &Peer) {
  auto Parts = splitAddress(To);
  if (!Parts)
    return 0;
  auto &Four = reinterpret_cast<sockaddr_in &>(Peer);
  if (::inet_pton(AF_INET, Parts->Host.c_str(), &Four.sin_addr) == 1) {
    Four.sin_family = AF_INET;
    Four.sin_port = htons(Parts->Port);
    return sizeof(Four);
  }
  auto &Six = reinterpret_cast<sockaddr_in6 &>(Peer);
  if (::inet_pton(AF_INET6, Parts->Host.c_str(), &Six.sin6_addr) != 1)
    return 0;
  Six.sin6_family = AF_INET6;
  Six.sin6_port = htons(Parts->Port);
  return sizeof(Six);
}

} // namespace

tcp_stream::tcp_stream(tcp_stream_listener &Listener) : Listener(Listener) {
  EndCheck.setSingleShot(true);
  EndCheck.setInterval(std::chrono::duration_cast<std::chrono::milliseconds>(
      end_check_interval));
  QObject::connect(&EndCheck, &QTimer::timeout, &EndCheck,
                   [this] { onPeerEnd(); });
}

tcp_stream::~tcp_stream() { closeSocket(); }

bool tcp_stream::open(const address &To) {
  sockaddr_storage Peer{};
  socklen_t Size = socketAddress(To, Peer);
  if (Size == 0)
    return false;
  Socket =
      ::socket(Peer.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  setOptions(Socket);
  int Result = ::connect(Socket, reinterpret_cast<sockaddr *>(&Peer), Size);
  if (Result != 0 && errno != EINPROGRESS) {
    closeSocket();
    return false;
  }
  Readable = std::make_unique<QSocketNotifier>(Socket, QSocketNotifier::Read);
  Writable = std::make_unique<QSocketNotifier>(Socket, QSocketNotifier::Write);
  Readable->setEnabled(false);
  QObject::connect(Readable.get(), &QSocketNotifier::activated, Readable.get(),
                   [this] { onReadable(); });
  QObject::connect(Writable.get(), &QSocketNotifier::activated, Writable.get(),
                   [this] { onWritable(); });
  return true;
}

void tcp_stream::write(std::string_view Bytes) {
  Unwritten += Bytes;
  if (Connected)
    flush();
}

void tcp_stream::setReading(bool Enabled) {
  Reading = Enabled;
  if (Connected && Readable)
    Readable->setEnabled(Enabled);
}

bool tcp_stream::isQuiet() const {
  char Byte = 0;
  ssize_t Size = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void tcp_stream::onWritable() {
  if (!Connected) {
    takeSocketError();
    if (Error != 0)
      return end(stream_end::Broken, std::strerror(Error));
    Connected = true;
    Readable->setEnabled(Reading);
    Listener.onStreamConnected();
  }
  if (Socket >= 0)
    flush();
}

// After an error, what came before it is still read.
void tcp_stream::flush() {
  while (!Unwritten.empty() && Error == 0) {
    ssize_t Size =
        ::send(Socket, Unwritten.data(), Unwritten.size(), MSG_NOSIGNAL);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size < 0 && errno == EAGAIN)
      break;
    if (Size < 0) {
      Error = errno;
      break;
    }
    Sent = true;
    Unwritten.erase(0, static_cast<size_t>(Size));
  }
  Writable->setEnabled(!Unwritten.empty() && Error == 0);
}

void tcp_stream::onReadable() {
  std::array<char, read_bytes> Buffer;
  ssize_t Size = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Size > 0)
    return Listener.onStreamBytes({Buffer.data(), static_cast<size_t>(Size)});
  if (Size == 0)
    return onPeerEnd();
  if (errno == EAGAIN || errno == EINTR)
    return;
  Error = errno;
  end(stream_end::Broken, std::strerror(Error));
}

void tcp_stream::onPeerEnd() {
  Readable->setEnabled(false);
  // A reset that came before the acknowledgement is found by the second call.
  bool IsAcknowledged = isAcknowledged();
  takeSocketError();
  if (Error != 0)
    return end(stream_end::Broken, std::strerror(Error));
  if (IsAcknowledged || !Listener.isCompletedByEnd())
    return end(stream_end::Orderly, "closed");
  EndCheck.start();
}

void tcp_stream::takeSocketError() {
  int Pending = 0;
  socklen_t Size = sizeof(Pending);
  ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Pending, &Size);
  if (Error == 0)
    Error = Pending;
}

// Where the kernel does not count them, bytes that it took are taken for
// acknowledged.
bool tcp_stream::isAcknowledged() const {
  int Unacknowledged = 0;
  bool IsCounted = ::ioctl(Socket, SIOCOUTQ, &Unacknowledged) == 0;
  return Unwritten.empty() && (!IsCounted || Unacknowledged == 0);
}

void tcp_stream::end(stream_end How, const std::string &Reason) {
  if (Socket < 0)
    return;
  Readable->setEnabled(false);
  Writable->setEnabled(false);
  EndCheck.stop();
  Connected = false;
  Listener.onStreamEnd(How, Reason);
}

void tcp_stream::reset() {
  linger Now{1, 0};
  if (Socket >= 0)
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  closeSocket();
}

void tcp_stream::closeSocket() {
  EndCheck.stop();
  // Not deleted at once: this may run within a notifier's signal.
  for (auto *Notifier : {&Readable, &Writable})
    if (*Notifier) {
      (*Notifier)->setEnabled(false);
      (*Notifier)->disconnect();
      Notifier->release()->deleteLater();
    }
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
  Connected = false;
}

} // namespace monsoonreel
