// A bounded HTTP/1.1 server.
//
//   class hello : public http_handler {
//     void handleRequest(const http_request &Request,
//                        const std::shared_ptr<http_exchange> &Exchange)
//         override {
//       Exchange->answer(200, {{"Content-Type", "text/plain"}}, "hello\n");
//     }
//   };
//
//   hello Handler;
//   http_server Server(Handler, http_bounds());
//   if (!Server.listen(QHostAddress::LocalHost, 0))
//     return 1;
//   int Port = Server.port();
//
// Everything runs in the thread that made the server and needs a running
// QCoreApplication. Requests of one connection are handled one after another;
// requests of different connections at the same time. A handler may answer
// later and in parts:
//
//   Exchange->begin(200, {{"Content-Type", "text/event-stream"}});
//   Exchange->write("data: 1\n\n");   // any number of times, also much later
//   Exchange->finish();
//
// A writer of long answers stops while `bytesToWrite()` is large and goes on
// when `onRoom` is called. `onGone` is called when the caller's connection
// closes before the answer is complete.

#ifndef IO_HTTP_SERVER_H
#define IO_HTTP_SERVER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <QHostAddress>
#include <QObject>
#include <QPointer>

#include "io/gated_socket.h"
#include "io/http_head.h"

class QHttpServerResponder;

namespace monsoonreel {

struct http_request {
  std::string Method;
  std::string Path;  // as sent, without the query
  std::string Query; // without the question mark
  http_header_list Headers;
  std::string Body;

  // The value of the first field called Name, whatever its case, or nullptr.
  const std::string *header(std::string_view Name) const {
    return findHeader(Headers, Name);
  }
  // The request target as sent: path and query.
  std::string target() const {
    return Query.empty() ? Path : Path + "?" + Query;
  }
  // The value of a query parameter, or Otherwise when it is missing.
  std::string parameter(std::string_view Name, std::string Otherwise) const;
};

// One request and its answer. All calls are harmless after the caller is gone.
class http_exchange : public QObject {
public:
  http_exchange(QHttpServerResponder &&Responder, gated_socket *Socket);
  // Breaks the connection off when the answer is not complete.
  ~http_exchange() override;

  // Writes a whole answer.
  void answer(int Status, const http_header_list &Headers,
              std::string_view Body);

  // Begins an answer of unknown length.
  void begin(int Status, const http_header_list &Headers);
  // Adds to an answer that has begun.
  void write(std::string_view Data);
  // Completes an answer that has begun.
  void finish();

  // Closes the connection without completing the answer, so that the caller
  // can't take the part that it has for the whole.
  void abort();

  bool hasBegun() const { return Begun; }
  // Whether the caller is still connected and the answer not complete.
  bool isOpen() const;
  // Bytes of the answer that the caller has not taken yet.
  int64_t bytesToWrite() const;

  void setOnGone(std::function<void()> Callback);
  void setOnRoom(std::function<void()> Callback);

private:
  void writeHead(int Status, const http_header_list &Headers);
  void complete();

  std::unique_ptr<QHttpServerResponder> Responder;
  QPointer<gated_socket> Socket;
  std::function<void()> OnGone;
  std::function<void()> OnRoom;
  bool Begun = false;
  bool Done = false;
  bool Chunked = false;
  bool HeadOnly = false;
};

class http_handler {
public:
  virtual ~http_handler() = default;
  // Keep Exchange to answer later; it may be answered at once as well.
  virtual void
  handleRequest(const http_request &Request,
                const std::shared_ptr<http_exchange> &Exchange) = 0;
};

// Receives notifications about connections that the server closes. Called from
// the event loop.
class http_server_observer {
public:
  virtual ~http_server_observer() = default;
  virtual void onConnectionShed(const shed_connection &Shed) = 0;
};

class http_server {
public:
  // Handler has to live longer than the server.
  http_server(http_handler &Handler, const http_bounds &Bounds);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  // Port 0 takes a free one. Returns false when the address can't be had.
  bool listen(const QHostAddress &Address, uint16_t Port);
  bool listen(const address &At);
  uint16_t port() const;
  // Takes no new connections; the open ones go on.
  void stopListening();
  // From now on every answer asks its caller to close the connection.
  void startDraining();
  int connections() const;
  // Number of connections on which a request is being read.
  size_t requestsBeingRead() const;
  // Closes the connections on which no request has begun.
  void closeIdle();
  // Replaces the bounds for what callers send from now on.
  void setBounds(const http_bounds &Bounds);
  // Observer has to live longer than the server.
  void setObserver(http_server_observer &Observer);
  // Bytes that are held for all connections.
  int64_t bytesHeld() const;

private:
  class listener;
  class dispatcher;

  std::unique_ptr<dispatcher> Dispatcher;
  listener *Listener; // owned by Dispatcher
};

} // namespace monsoonreel

#endif // IO_HTTP_SERVER_H
