// Requests by QNetworkAccessManager that are sent once and as they are.
//
//   QNetworkRequest Request = makeNetworkRequest(Upstream.Address, "/load");
//   QNetworkReply *Reply = sendOnce(Manager, Request, "GET", "");
//
// Left to itself, Qt sends a request again when the connection closes without
// an answer, whether it has a body or not; follows redirects with the caller's
// credentials; offers compression; keeps cookies; and buffers an unread answer
// without bound. Everything that this program sends goes through `sendOnce`,
// because sending again is the router's own decision.

#ifndef IO_NETWORK_REQUEST_H
#define IO_NETWORK_REQUEST_H

#include <memory>
#include <string>
#include <vector>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Bytes of an answer that wait unread before its sender is held up.
constexpr qint64 reply_buffer_bytes = 64 << 10;

// Target is the path with its query, as it is to be sent.
QNetworkRequest makeNetworkRequest(const address &To,
                                   const std::string &Target);

// Sends Body at most once. When the connection closes without an answer, the
// reply ends with an error and nothing is sent again.
QNetworkReply *sendOnce(QNetworkAccessManager &Manager, QNetworkRequest Request,
                        const std::string &Method, const std::string &Body);

// The status of a reply, or 0 when no head came.
int replyStatus(const QNetworkReply &Reply);

// Whether the reply's error comes from the connection, not from its status.
bool isTransportError(QNetworkReply::NetworkError Error);

// Whether it is certain that nothing of the request was written.
bool isNeverSent(const QNetworkReply &Reply);

// Managers such that no request waits inside one of them.
//
//   QNetworkAccessManager *Manager = Pool.acquire(Address);
//   ...
//   Pool.release(Manager, Address); // after the reply has ended
//
// A QNetworkAccessManager opens at most six connections to one address and
// queues the seventh request unseen, ahead of the router's own scheduling. The
// pool never gives a manager more than that; it is shared by all addresses, so
// that the number of managers follows the busiest address only.
class manager_pool {
public:
  manager_pool();
  ~manager_pool();
  manager_pool(const manager_pool &) = delete;
  manager_pool &operator=(const manager_pool &) = delete;

  // Returns nullptr when max_managers are full for this address.
  QNetworkAccessManager *acquire(const address &To);
  void release(QNetworkAccessManager *Manager, const address &To);
  size_t size() const { return Members.size(); }

private:
  struct member;
  std::vector<std::unique_ptr<member>> Members;
};

constexpr int requests_per_manager = 6;
// Each manager has a thread of its own inside Qt.
constexpr size_t max_managers = 64;

// A manager that neither keeps cookies nor uses a proxy.
std::unique_ptr<QNetworkAccessManager> makeManager();

} // namespace monsoonreel

#endif // IO_NETWORK_REQUEST_H
