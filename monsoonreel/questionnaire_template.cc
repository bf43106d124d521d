// The template of a questionnaire. A test parses it, so that it can't contain a
// key that the parser doesn't accept.

#include "monsoonreel/questionnaire.h"

namespace monsoonreel {

std::string questionnaireTemplate() {
  return R"(# Questionnaire of a new site. Change the answers, then
#
#   monsoonreel init questionnaire.yaml > site.yaml
#
# Times are numbers with a unit: us, ms, s, min or h. Names have letters,
# digits and . _ - only. What stands below is an example.

# ---- Which machines answer? One item for each group of machines that are
# alike, of one pool in one zone.
upstreams:
  - pool: planner       # For engines: the model's name in requests.
    kind: engine        # engine: generates tokens. service: answers in one piece.
    zone: north         # The availability zone that the machines stand in.
    may_vanish: false   # Are they taken away at a few seconds' notice?
    cost: 1.0           # Cost of a second of use, relative to the others.
    concurrency: 8      # Requests that one machine serves at once in time.
    # The least time to a first token and between two tokens on an idle machine
    # (service: to the answer). Targets below it are refused. 0s: not known.
    fastest_first_token: 80ms
    fastest_between_tokens: 20ms
    # checks_fence: does the machine refuse orders with an old fencing number?
    machines:
      - {name: m1, address: "127.0.0.1:18001", checks_fence: true}
      - {name: m2, address: "127.0.0.1:18002"}
  - pool: planner
    zone: north
    may_vanish: true
    cost: 0.3
    fastest_first_token: 80ms
    fastest_between_tokens: 20ms
    machines:
      - {name: m3, address: "127.0.0.1:18003"}
  - pool: desk
    kind: service
    zone: north
    concurrency: 4
    fastest_first_token: 40ms
    machines:
      - {name: s1, address: "127.0.0.1:18101"}

# ---- Which kinds of request are there, and what does their contract say?
requests:
  - name: chat
    tier: 0                # 0 is served before 1, 1 before 2, 2 before 3.
    first_token: 350ms     # Target until the first token; for a service, until
                           # the whole answer.
    between_tokens: 61ms   # Target between two tokens. Not for services.
    objective: 0.95        # Part of the requests that must meet the targets.
    minimum_share: 0.1     # Part of the work that it gets whatever else waits.
    pool: planner          # Who answers.
    path: /v1/chat/completions  # Default for engines. Requests that share a
                           # path name their kind; the first one is the default.
    runs_once: false       # Must it never run twice, such as an order?
    on_upstreams_that_may_vanish: false
    open: false            # Is it answered without a key?
    # Optional: the load at the peak that the contract covers, and how long one
    # request takes. The check then tells whether the upstreams have room.
    peak_per_second: 4
    typical_time: 2s
  - name: digest
    tier: 3
    first_token: 12s
    objective: 0.9
    minimum_share: 0.05
    pool: planner
    on_upstreams_that_may_vanish: true
  - name: booking
    tier: 0
    first_token: 1500ms
    objective: 0.99
    pool: desk
    path: /booking
    runs_once: true

# ---- Who asks? Each organisation gets keys by `monsoonreel key give NAME`.
organisations:
  - name: baths
    weight: 1                # Its share when all want more than there is.
    requests_per_second: 0   # Its limit over all entries. 0: none.
    requests: [chat, booking]  # What its contract covers. Left out: all.
  - name: tiles

# ---- The rest has defaults that suit most sites.
limits:
  max_queue_wait: 30s   # The longest time that a request may wait.
  retry_budget: 0.1     # Retries, as a part of an organisation's requests.
  claim_window: 24h     # How long a request that must run once is remembered.
  usage_window: 1min    # Length of a window of the usage reports.
)";
}

} // namespace monsoonreel
