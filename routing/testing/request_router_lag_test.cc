// Streams whose caller reads slowly, so that their upstream is not read.

#include "routing/testing/request_router_fixture.h"

namespace monsoonreel {
namespace {

class request_router_lag_test : public request_router_test {
protected:
  void lag(bool Lags) {
    Router.onCallerLags({request_id{Requests}, Lags}, at(Now));
  }
};

// Guards against an upstream that is taken for silent because this entry has
// stopped reading from it (review/15).
TEST_F(request_router_lag_test, Caller_ReadsSlowly_UpstreamIsNotSilent) {
  arrive("/resume/x");
  attempt_number First = attempt();
  head(First, 200, false, true);
  data(First, "id: 1\ndata: a\n\n");
  lag(true);
  tick(1300ms);
  EXPECT_TRUE(none<route_cancel>());
}

// The silence counts from when the upstream is read again.
TEST_F(request_router_lag_test, Caller_HasCaughtUp_SilenceCountsFromThen) {
  arrive("/resume/x", "good", 3000ms);
  attempt_number First = attempt();
  head(First, 200, false, true);
  data(First, "id: 1\ndata: a\n\n");
  lag(true);
  Now = 400ms;
  lag(false);
  tick(1300ms);
  EXPECT_TRUE(none<route_cancel>());
  tick(1450ms);
  EXPECT_EQ(one<route_cancel>().Attempt, First);
}

} // namespace
} // namespace monsoonreel
