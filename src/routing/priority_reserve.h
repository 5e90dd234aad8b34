// Keeps slots of the backends of a service free for more urgent requests.
//
// Each entry orders its own queue by priority, but a slot that another entry
// fills with a less urgent request is lost to all. Every entry therefore leaves
// some slots of each backend free when it sends a less urgent request, so that
// a more urgent one finds a slot at once, wherever it arrives. No messages are
// needed: the slots in use are known from the entries' reports. Does no I/O
// and reads no clock.
#pragma once

#include <map>

#include "core/clock.h"
#include "routing/sliding_count.h"

namespace mangohold {

class PriorityReserve {
 public:
  struct Options {
    // Fraction of the slots that is reserved if nearly all arrivals are more
    // urgent; 0: nothing is reserved. More would stay unused between arrivals.
    double max_fraction = 0;
  };

  explicit PriorityReserve(Options options) : options_(options) {}

  // A new request arrived; 0 is the most urgent priority.
  void OnArrival(int priority, TimePoint now);
  // A request of this priority was sent.
  void OnSent(int priority);
  // Fraction of a backend's slots that a request of this priority leaves free.
  // 0 while no more urgent ones arrive, and once too many of them in a row have
  // been sent, so that the least urgent requests keep a part of the slots.
  double FractionFor(int priority, TimePoint now) const;

 private:
  struct Demand {
    SlidingCount arrivals;
    // More urgent requests sent since the last of these was, whether or not one
    // was waiting.
    int overtakes = 0;
  };
  Options options_;
  std::map<int, Demand> by_priority_;
};

// Number of `slots` that such a fraction reserves: at least one if it isn't 0,
// and at most half of them.
int ReservedSlots(double fraction, int slots);

}  // namespace mangohold
