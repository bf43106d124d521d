// A TCP connection that this process opens.
//
//   class reader : public tcp_stream_listener { ... };
//   tcp_stream Stream(Listener);
//   Stream.open(address("10.0.0.9:8080"));
//   Stream.write(Bytes);            // also before the connection is made
//
// In place of QTcpSocket where it matters how a connection ended: Qt reports a
// reset as an orderly end, and an answer without a length that was reset must
// not pass for a complete one.
//
// A stream that has failed in any of its calls never ends in an orderly way:
// the kernel states an error once, to the call that comes first, and reports
// the end of the received bytes to those after it.
//
// Silent connections are noticed by keep-alive probes and by data that is not
// acknowledged in time. Nothing is called from within `write` or `open`.

#ifndef IO_TCP_STREAM_H
#define IO_TCP_STREAM_H

#include <memory>
#include <string>
#include <string_view>

#include <QSocketNotifier>
#include <QTimer>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Data that is not acknowledged for so long ends the connection: several
// repeats of a lost packet fit in, and a request's usual target does not pass
// much more than twice.
constexpr duration unacknowledged_timeout = std::chrono::milliseconds(1500);
// Between keep-alive probes of a connection without traffic; two unanswered
// ones end it.
constexpr duration keepalive_interval = std::chrono::seconds(1);
constexpr int keepalive_probes = 2;
// Between two looks at whether the peer has acknowledged the rest of a request.
constexpr duration end_check_interval = std::chrono::milliseconds(5);

enum class stream_end {
  Orderly, // the peer has sent everything
  Broken,  // reset, timed out or never connected
};

class tcp_stream_listener {
public:
  virtual ~tcp_stream_listener() = default;
  virtual void onStreamConnected() = 0;
  virtual void onStreamBytes(std::string_view Bytes) = 0;
  virtual void onStreamEnd(stream_end End, const std::string &Reason) = 0;
  // Returns whether an orderly end would complete what was received. The stream
  // then reports the end only when the peer has acknowledged all that was
  // written, because a peer that has ended before it may still reset.
  virtual bool isCompletedByEnd() const = 0;
};

class tcp_stream {
public:
  // Listener has to live longer than the stream. From within its callbacks it
  // may close the stream, but not destroy it.
  explicit tcp_stream(tcp_stream_listener &Listener);
  ~tcp_stream();
  tcp_stream(const tcp_stream &) = delete;
  tcp_stream &operator=(const tcp_stream &) = delete;

  // Returns false when no connection can even be begun.
  bool open(const address &To);
  void write(std::string_view Bytes);
  // Closes the connection. The listener hears no more. What was written is
  // still delivered, also long after, when a cut heals.
  void close() { closeSocket(); }
  // Resets it: what was written and has not arrived will not arrive any more.
  void reset();
  void setReading(bool Enabled);
  bool isConnected() const { return Connected; }
  // Whether the peer has neither sent anything nor ended the connection.
  bool isQuiet() const;
  // Whether any byte may have reached the peer.
  bool hasSent() const { return Sent; }
  bool hasUnwritten() const { return !Unwritten.empty(); }

private:
  void onWritable();
  void onReadable();
  void onPeerEnd();
  void flush();
  void takeSocketError();
  bool isAcknowledged() const;
  void end(stream_end How, const std::string &Reason);
  void closeSocket();

  tcp_stream_listener &Listener;
  int Socket = -1;
  bool Connected = false;
  bool Sent = false;
  bool Reading = true;
  int Error = 0; // first error of any call
  std::string Unwritten;
  QTimer EndCheck;
  std::unique_ptr<QSocketNotifier> Readable;
  std::unique_ptr<QSocketNotifier> Writable;
};

} // namespace monsoonreel

#endif // IO_TCP_STREAM_H
