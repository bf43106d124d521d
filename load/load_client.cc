#include "load/load_client.h"

#include <utility>

#include <QHostAddress>

#include "standins/steady_clock.h"

namespace monsoonreel::load {

namespace {

using standin::steadyNow;

constexpr std::chrono::milliseconds control_timeout{5000};

std::string_view view(const QByteArray &Bytes) {
  return {Bytes.data(), static_cast<size_t>(Bytes.size())};
}

// One small request outside the load.
class control_call : public QObject {
public:
  explicit control_call(std::function<void(std::string)> Callback)
      : Callback(std::move(Callback)) {
    connect(&Socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&Socket, &QTcpSocket::errorOccurred, this, [this] { finish(); });
    connect(&Timer, &QTimer::timeout, this, [this] { finish(); });
    Timer.setSingleShot(true);
    Timer.start(control_timeout);
  }

  void start(const entry_endpoint &To, const std::string &Wire) {
    Socket.connectToHost(QHostAddress(QString::fromStdString(To.Ip)), To.Port);
    Socket.write(Wire.data(), static_cast<qint64>(Wire.size()));
  }

private:
  void read() {
    Reader.feed(view(Socket.readAll()), steadyNow());
    if (Reader.state() == answer_reader::progress::Complete)
      finish();
  }

  void finish() {
    if (std::exchange(Finished, true))
      return;
    Callback(Reader.body());
    deleteLater();
  }

  std::function<void(std::string)> Callback;
  QTcpSocket Socket;
  QTimer Timer;
  answer_reader Reader;
  bool Finished = false;
};

} // namespace

// One connection and the request that it carries.
class load_client::exchange {
public:
  exchange(load_client &Owner, size_t Entry) : Owner(Owner), Entry(Entry) {
    Timer.setSingleShot(true);
    QObject::connect(&Timer, &QTimer::timeout,
                     [this] { end(exchange_end::TimedOut); });
    QObject::connect(&Socket, &QTcpSocket::readyRead, [this] { read(); });
    QObject::connect(&Socket, &QTcpSocket::disconnected,
                     [this] { end(exchange_end::Closed); });
    QObject::connect(&Socket, &QTcpSocket::errorOccurred, [this] {
      end(WasConnected ? exchange_end::Closed : exchange_end::NotConnected);
    });
    QObject::connect(&Socket, &QTcpSocket::connected, [this] {
      WasConnected = true;
      Socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    });
  }

  size_t entry() const { return Entry; }
  bool isConnected() const {
    return Socket.state() == QAbstractSocket::ConnectedState;
  }

  void start(size_t Request, const std::string &Wire, duration Timeout) {
    Result = exchange_result();
    Result.Request = Request;
    Busy = true;
    Timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(Timeout));
    if (!isConnected()) {
      WasConnected = false;
      const entry_endpoint &To = Owner.Entries[Entry];
      Socket.connectToHost(QHostAddress(QString::fromStdString(To.Ip)),
                           To.Port);
    }
    Socket.write(Wire.data(), static_cast<qint64>(Wire.size()));
  }

private:
  void read() {
    QByteArray Bytes = Socket.readAll();
    if (!Busy) {
      // Nobody asked for this.
      Socket.abort();
      return;
    }
    Result.Answer.feed(view(Bytes), steadyNow());
    auto State = Result.Answer.state();
    if (State == answer_reader::progress::Complete)
      end(exchange_end::Answered);
    else if (State == answer_reader::progress::Malformed)
      end(exchange_end::Closed);
  }

  void end(exchange_end End) {
    if (!Busy)
      return;
    Busy = false;
    Timer.stop();
    Result.End = End;
    Result.Ended = steadyNow();
    if (End != exchange_end::Answered ||
        Result.Answer.header("connection") == "close")
      Socket.abort();
    Owner.ended(this, Result);
  }

  load_client &Owner;
  size_t Entry;
  QTcpSocket Socket;
  QTimer Timer;
  exchange_result Result;
  bool Busy = false;
  bool WasConnected = false;
};

load_client::load_client(std::vector<entry_endpoint> Entries, callback OnEnd)
    : Entries(std::move(Entries)), OnEnd(std::move(OnEnd)),
      Idle(this->Entries.size()) {}

load_client::~load_client() = default;

void load_client::send(size_t Request, const std::string &Wire,
                       duration Timeout) {
  size_t Entry = NextEntry++ % Entries.size();
  std::deque<exchange *> &Free = Idle[Entry];
  if (Free.empty()) {
    Exchanges.push_back(std::make_unique<exchange>(*this, Entry));
    Free.push_back(Exchanges.back().get());
  }
  exchange *Exchange = Free.back();
  Free.pop_back();
  ++Running;
  Exchange->start(Request, Wire, Timeout);
}

void load_client::ended(exchange *Exchange, const exchange_result &Result) {
  --Running;
  Idle[Exchange->entry()].push_back(Exchange);
  OnEnd(Result);
}

void callControl(const entry_endpoint &Endpoint, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 std::function<void(std::string)> Callback) {
  // Deletes itself once it has called back.
  auto *Call = new control_call(std::move(Callback));
  std::string Wire = Method + " " + Path + " HTTP/1.1\r\nHost: " + Endpoint.Ip +
                     "\r\nContent-Length: " + std::to_string(Body.size()) +
                     "\r\n\r\n" + Body;
  Call->start(Endpoint, Wire);
}

} // namespace monsoonreel::load
