#include "io/network_request.h"

#include <algorithm>
#include <cstring>

#include <QIODevice>
#include <QNetworkProxy>
#include <QUrl>

namespace monsoonreel {

namespace {

// The body of a request as a sequential device, which Qt can't rewind.
class body_device : public QIODevice {
public:
  explicit body_device(const std::string &Text)
      : Body(QByteArray::fromStdString(Text)) {
    QIODevice::open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  bool isSequential() const override { return true; }
  bool seek(qint64 /*Position*/) override { return false; }
  bool reset() override { return false; }
  bool atEnd() const override { return Position == Body.size(); }
  qint64 bytesAvailable() const override { return Body.size() - Position; }

protected:
  qint64 readData(char *Data, qint64 MaxSize) override {
    qint64 Size = std::min(MaxSize, bytesAvailable());
    if (Size == 0)
      return -1;
    std::memcpy(Data, Body.constData() + Position, static_cast<size_t>(Size));
    Position += Size;
    return Size;
  }
  qint64 writeData(const char * /*Data*/, qint64 /*Size*/) override {
    return -1;
  }

private:
  QByteArray Body;
  qint64 Position = 0;
};

} // namespace

QNetworkRequest makeNetworkRequest(const address &To,
                                   const std::string &Target) {
  QUrl Url = QUrl::fromEncoded(
      QByteArray::fromStdString("http://" + To.Value + Target));
  QNetworkRequest Request(Url);
  Request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  Request.setAttribute(QNetworkRequest::CookieLoadControlAttribute,
                       QNetworkRequest::Manual);
  Request.setAttribute(QNetworkRequest::CookieSaveControlAttribute,
                       QNetworkRequest::Manual);
  Request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute,
                       QNetworkRequest::Manual);
  Request.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                       QNetworkRequest::AlwaysNetwork);
  Request.setAttribute(QNetworkRequest::CacheSaveControlAttribute, false);
  Request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  Request.setAttribute(QNetworkRequest::HttpPipeliningAllowedAttribute, false);
  Request.setRawHeader("Accept-Encoding", "identity");
  Request.setRawHeader("Accept-Language", "*");
  Request.setRawHeader("User-Agent", "monsoonreel");
  return Request;
}

QNetworkReply *sendOnce(QNetworkAccessManager &Manager, QNetworkRequest Request,
                        const std::string &Method, const std::string &Body) {
  Request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  Request.setHeader(QNetworkRequest::ContentLengthHeader,
                    static_cast<qint64>(Body.size()));
  if (!Request.hasRawHeader("Content-Type"))
    Request.setRawHeader("Content-Type", "application/json");
  auto *Device = new body_device(Body);
  QNetworkReply *Reply = Manager.sendCustomRequest(
      Request, QByteArray::fromStdString(Method), Device);
  Device->setParent(Reply);
  // Qt starts a request with a sequential body by a queued call of its own, and
  // loses a buffer size that is set before that. A second queued call comes
  // right after it.
  QMetaObject::invokeMethod(
      Reply, [Reply] { Reply->setReadBufferSize(reply_buffer_bytes); },
      Qt::QueuedConnection);
  return Reply;
}

int replyStatus(const QNetworkReply &Reply) {
  return Reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

bool isTransportError(QNetworkReply::NetworkError Error) {
  if (Error == QNetworkReply::NoError)
    return false;
  return Error == QNetworkReply::ContentReSendError ||
         Error < QNetworkReply::ContentAccessDenied ||
         (Error >= QNetworkReply::ProtocolUnknownError &&
          Error < QNetworkReply::InternalServerError);
}

bool isNeverSent(const QNetworkReply &Reply) {
  // Qt reports a refused connection only while connecting. A request that was
  // written and could be sent again ends with ContentReSendError instead.
  return replyStatus(Reply) == 0 &&
         (Reply.error() == QNetworkReply::ConnectionRefusedError ||
          Reply.error() == QNetworkReply::HostNotFoundError);
}

std::unique_ptr<QNetworkAccessManager> makeManager() {
  auto Manager = std::make_unique<QNetworkAccessManager>();
  Manager->setProxy(QNetworkProxy::NoProxy);
  Manager->setCookieJar(nullptr);
  Manager->setAutoDeleteReplies(false);
  Manager->setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
  return Manager;
}

struct manager_pool::member {
  std::unique_ptr<QNetworkAccessManager> Manager = makeManager();
  absl::flat_hash_map<address, int> Running;
};

manager_pool::manager_pool() = default;
manager_pool::~manager_pool() = default;

QNetworkAccessManager *manager_pool::acquire(const address &To) {
  for (auto &Member : Members) {
    int &Running = Member->Running[To];
    if (Running < requests_per_manager) {
      ++Running;
      return Member->Manager.get();
    }
  }
  if (Members.size() == max_managers)
    return nullptr;
  Members.push_back(std::make_unique<member>());
  Members.back()->Running[To] = 1;
  return Members.back()->Manager.get();
}

void manager_pool::release(QNetworkAccessManager *Manager, const address &To) {
  for (auto &Member : Members) {
    if (Member->Manager.get() != Manager)
      continue;
    auto It = Member->Running.find(To);
    if (It != Member->Running.end() && --It->second == 0)
      Member->Running.erase(It);
  }
}

} // namespace monsoonreel
