// What the queues do with more work than they can serve: the order of what is
// late or resumed, and when a request is refused.

#include <gtest/gtest.h>

#include "monsoonreel/admission.h"
#include "monsoonreel/request_queue.h"

namespace monsoonreel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class fair_queue_test : public ::testing::Test {
protected:
  // Number names the request.
  waiting_request makeWaiting(int64_t Number, const char *Organisation) const {
    waiting_request Request;
    Request.Key = {node_name("asker"), 1, Number};
    Request.Class = class_name("draft");
    Request.Tier = tier{1};
    Request.Organisation = organisation_name(Organisation);
    Request.Target = Now + seconds(5);
    Request.LatestGrant = Now + seconds(4);
    Request.GiveUp = Now + seconds(20);
    Request.ExpectedHold = seconds(2);
    return Request;
  }
  int64_t takeNext() {
    auto Any = [](const waiting_request &) { return true; };
    std::optional<waiting_request> Next = Queue->take(Any, Now);
    return Next ? Next->Key.Ask : 0;
  }
  int64_t shedNext() const {
    auto Any = [](const class_name &) { return true; };
    const waiting_request *Next = Queue->shedCandidate(Any);
    return Next ? Next->Key.Ask : 0;
  }

  steady_time Now{std::chrono::hours(1)};
  std::unique_ptr<request_queue> Queue = makeFairQueue();
};

TEST_F(fair_queue_test, Waiting_FirstTokenWouldBeLate_GoesAfterThoseOnTime) {
  waiting_request Late = makeWaiting(1, "small");
  Late.Target = Now + milliseconds(100);
  Late.LatestGrant = Now - milliseconds(100);
  Queue->push(Late);
  Queue->push(makeWaiting(2, "small"));
  Queue->push(makeWaiting(3, "large"));
  EXPECT_NE(takeNext(), 1);
  EXPECT_NE(takeNext(), 1);
  EXPECT_EQ(takeNext(), 1);
}

} // namespace
} // namespace monsoonreel
