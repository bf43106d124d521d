#include "monsoonreel/request_admission.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/idempotency_key.h"

namespace monsoonreel {

namespace {

refuse_request refusal(const request_arrived &Arrived, int Status,
                       std::string Code, std::string Message,
                       duration RetryAfter = {}) {
  return {Arrived.Request,           Status,
          std::move(Code),           std::move(Message),
          execution_outcome::NotRun, RetryAfter};
}

// The admission steps of one request. Each step returns false after it has set
// the refusal.
class admission {
public:
  admission(const request_arrived &Arrived, const ledger &Ledger,
            const log_freshness &Freshness, steady_time Now)
      : Arrived(Arrived), Config(Ledger.config()), Ledger(Ledger),
        Freshness(Freshness), Now(Now) {}

  admission_result decide() {
    if (!hasConfiguration() || !findRoute() || !identify() || !chooseClass() ||
        !choosePool() || !checkKeyAge() || !checkIdempotencyKey())
      return Refusal;
    Result.Deadline = Now + timeout();
    Result.MaxQueueWait = Config.Limits.MaxQueueWait;
    Result.KeyTrust = keyTrustOf(Config.Limits, Result.Idempotent);
    return Result;
  }

private:
  bool refuse(int Status, std::string Code, std::string Message,
              duration RetryAfter = {}) {
    Refusal = refusal(Arrived, Status, std::move(Code), std::move(Message),
                      RetryAfter);
    return false;
  }

  bool hasConfiguration() {
    return Ledger.configOffset().Value > 0 ||
           refuse(503, "starting", "This entry has no configuration yet.",
                  startup_retry_after);
  }

  bool findRoute() {
    Route = Config.findRoute(Arrived.Path);
    if (!Route)
      return refuse(404, "no-such-route", "No route serves this path.");
    Result.Idempotent = Route->Idempotent;
    return true;
  }

  bool identify() {
    if (Arrived.Key) {
      if (const key_record *Key = Ledger.findKey(*Arrived.Key)) {
        Result.Organisation = Key->Organisation;
        return true;
      }
    }
    if (Route->Open)
      return true;
    if (!Arrived.Key)
      return refuse(401, "key-missing",
                    "Send your key as Authorization: Bearer KEY.");
    return refuse(401, "key-unknown", "This key is not valid.");
  }

  bool chooseClass() {
    const class_name &Name =
        Arrived.Class.empty() ? Route->DefaultClass : Arrived.Class;
    const service_class *Class = Config.findClass(Name);
    if (!Class)
      return refuse(400, "no-such-class",
                    "There is no service class of this name.");
    bool Contracted = Result.Organisation.empty()
                          ? Name == Route->DefaultClass
                          : Config.mayUse(Result.Organisation, Name);
    if (!Contracted)
      return refuse(403, "class-not-contracted",
                    "Your organisation has no contract for this class.");
    Result.Class = *Class;
    return true;
  }

  bool choosePool() {
    Result.Pool = Route->Pool.empty() ? pool_name(Arrived.Model) : Route->Pool;
    bool Served = std::any_of(
        Config.Upstreams.begin(), Config.Upstreams.end(),
        [&](const auto &Entry) { return Entry.second.Pool == Result.Pool; });
    return Served || refuse(404, "no-such-model",
                            "No upstream serves this model or service.");
  }

  bool checkKeyAge() {
    if (Result.Organisation.empty() ||
        mayTrustKeys(keyTrustOf(Config.Limits, Result.Idempotent), Freshness,
                     Now))
      return true;
    Refusal = keysStale(Arrived);
    return false;
  }

  bool checkIdempotencyKey() {
    if (!Arrived.IdempotencyKey || Result.Idempotent)
      return true;
    size_t Size = Arrived.IdempotencyKey->size();
    if (Size == 0 || Size > max_idempotency_key_bytes)
      return refuse(400, "bad-idempotency-key",
                    "The idempotency key must have 1 to 255 bytes.");
    Result.NeedsClaim = true;
    return true;
  }

  duration timeout() const {
    duration Wanted = Arrived.Timeout.value_or(default_request_timeout);
    return std::clamp(Wanted, duration::zero(), longest_request_timeout);
  }

  const request_arrived &Arrived;
  const configuration &Config;
  const ledger &Ledger;
  const log_freshness &Freshness;
  steady_time Now;
  const route *Route = nullptr;
  admitted_request Result;
  refuse_request Refusal;
};

} // namespace

refuse_request keysStale(const request_arrived &Arrived) {
  return refusal(Arrived, 503, "keys-stale",
                 "This entry has been cut off for too long to check keys.",
                 startup_retry_after);
}

admission_result admitRequest(const request_arrived &Arrived,
                              const ledger &Ledger,
                              const log_freshness &Freshness, steady_time Now) {
  return admission(Arrived, Ledger, Freshness, Now).decide();
}

} // namespace monsoonreel
