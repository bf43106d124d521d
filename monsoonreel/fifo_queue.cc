// The queue of the baseline policies: arrival order, regardless of tier,
// organisation and deadline.

#include <algorithm>
#include <list>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/request_queue.h"

namespace monsoonreel {

namespace {

// Upper bound of the requests that are tried in search of one that fits the
// free upstreams.
constexpr int max_fifo_tries = 8;

class fifo_queue : public request_queue {
public:
  void push(waiting_request Request) override {
    Work += Request.ExpectedHold;
    ++ByClass[Request.Class];
    ask_key Key = Request.Key;
    Order.push_back(std::move(Request));
    Places[Key] = std::prev(Order.end());
  }

  std::optional<waiting_request> take(const request_filter &Fits,
                                      steady_time /*Now*/) override {
    int Tries = 0;
    for (const waiting_request &Request : Order) {
      if (++Tries > max_fifo_tries)
        break;
      if (Fits(Request))
        return remove(Request.Key);
    }
    return std::nullopt;
  }

  std::optional<waiting_request> takeOfClass(const class_name &Class,
                                             const request_filter &Fits,
                                             steady_time /*Now*/) override {
    for (const waiting_request &Request : Order)
      if (Request.Class == Class && Fits(Request))
        return remove(Request.Key);
    return std::nullopt;
  }

  const waiting_request *peekAbove(tier /*Below*/,
                                   const request_filter & /*Fits*/,
                                   steady_time /*Now*/) const override {
    return nullptr;
  }

  std::optional<waiting_request> remove(const ask_key &Key) override {
    auto Place = Places.find(Key);
    if (Place == Places.end())
      return std::nullopt;
    waiting_request Request = std::move(*Place->second);
    Order.erase(Place->second);
    Places.erase(Place);
    Work -= Request.ExpectedHold;
    if (--ByClass[Request.Class] == 0)
      ByClass.erase(Request.Class);
    return Request;
  }

  const waiting_request *find(const ask_key &Key) const override {
    auto Place = Places.find(Key);
    return Place == Places.end() ? nullptr : &*Place->second;
  }

  const waiting_request *
  shedCandidate(const std::function<bool(const class_name &)> & /*Sheds*/)
      const override {
    return Order.empty() ? nullptr : &Order.back();
  }

  late_work lateWork(tier /*Tier*/, const class_name & /*Class*/,
                     steady_time /*Now*/) const override {
    return {};
  }

  void charge(const class_name & /*Class*/, tier /*Tier*/,
              const organisation_name & /*Organisation*/, double /*Weight*/,
              duration /*Used*/) override {}

  size_t size() const override { return Order.size(); }

  size_t waitingOf(const class_name &Class) const override {
    auto Found = ByClass.find(Class);
    return Found == ByClass.end() ? 0 : Found->second;
  }

  bool anyOfClass(const class_name &Class,
                  const request_filter &Fits) const override {
    return std::any_of(Order.begin(), Order.end(),
                       [&](const waiting_request &Request) {
                         return Request.Class == Class && Fits(Request);
                       });
  }

  duration workAhead(tier /*Tier*/, const organisation_name & /*Organisation*/,
                     double /*Weight*/) const override {
    return Work;
  }

private:
  std::list<waiting_request> Order;
  absl::flat_hash_map<ask_key, std::list<waiting_request>::iterator> Places;
  absl::flat_hash_map<class_name, size_t> ByClass;
  duration Work{};
};

} // namespace

std::unique_ptr<request_queue> makeFifoQueue() {
  return std::make_unique<fifo_queue>();
}

} // namespace monsoonreel
