// Sends requests to the entries over many connections at once.
//
//   load_client Client({{"127.0.0.1", 7000}}, Callback);
//   Client.send(7, Wire, std::chrono::seconds(5));
//
// Each request has a connection to itself while it runs; connections are used
// again afterwards. Entries take turns, as behind a balancer. Nothing is ever
// sent twice.

#ifndef LOAD_LOAD_CLIENT_H
#define LOAD_LOAD_CLIENT_H

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <QTcpSocket>
#include <QTimer>

#include "load/answer_reader.h"

namespace monsoonreel::load {

struct entry_endpoint {
  std::string Ip;
  quint16 Port = 0;
};

enum class exchange_end { Answered, Closed, TimedOut, NotConnected };

// How one request went.
struct exchange_result {
  size_t Request = 0;
  exchange_end End = exchange_end::Answered;
  answer_reader Answer;
  steady_time Ended;
};

class load_client {
public:
  using callback = std::function<void(const exchange_result &)>;

  load_client(std::vector<entry_endpoint> Entries, callback OnEnd);
  ~load_client();

  // Sends the bytes of a whole HTTP request. Request comes back in the result.
  void send(size_t Request, const std::string &Wire, duration Timeout);
  size_t running() const { return Running; }

private:
  class exchange;

  void ended(exchange *Exchange, const exchange_result &Result);

  std::vector<entry_endpoint> Entries;
  callback OnEnd;
  size_t NextEntry = 0;
  size_t Running = 0;
  // Idle connections by entry; the one used last is used next.
  std::vector<std::deque<exchange *>> Idle;
  std::vector<std::unique_ptr<exchange>> Exchanges;
};

// Sends one small request outside the load, such as a fault, and calls back
// with the answer's body, which is empty when there is none.
void callControl(const entry_endpoint &Endpoint, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 std::function<void(std::string)> Callback);

} // namespace monsoonreel::load

#endif // LOAD_LOAD_CLIENT_H
