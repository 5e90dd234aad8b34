#include "routing/tracked_backend.h"

#include <algorithm>

namespace mangohold {
namespace {

// Weight of the newest value in exponential smoothing.
constexpr double kSmoothing = 0.2;

double Smoothed(double before, double value) {
  return before + kSmoothing * (value - before);
}

// Sums a figure of the peers' shares that haven't expired.
int SumOfPeers(const std::map<InstanceId, PeerShare>& peers,
               int BackendShare::*figure, TimePoint now) {
  int sum = 0;
  for (const auto& [peer, peer_share] : peers) {
    if (peer_share.expires >= now) sum += peer_share.share.*figure;
  }
  return sum;
}

}  // namespace

PrefillLoad& PrefillLoad::operator+=(const PrefillLoad& other) {
  tokens += other.tokens;
  suspects += other.suspects;
  return *this;
}

PrefillLoad& PrefillLoad::operator-=(const PrefillLoad& other) {
  tokens -= other.tokens;
  suspects -= other.suspects;
  return *this;
}

void ServiceTime::Record(double served_seconds) {
  const bool is_first = seconds == 0;
  seconds = is_first ? served_seconds : Smoothed(seconds, served_seconds);
  slow_seconds =
      std::max(served_seconds, Smoothed(slow_seconds, served_seconds));
}

int TrackedBackend::RequestsInProgress(TimePoint now) const {
  return own_requests + SumOfPeers(peers, &BackendShare::requests, now);
}

int TrackedBackend::PrefillTokens(TimePoint now) const {
  return own_prefill.tokens +
         SumOfPeers(peers, &BackendShare::prefill_tokens, now);
}

int UsableSlots(const TrackedBackend& backend) {
  const int slots = backend.record.slots;
  return std::min(slots, backend.pass_limit_slots.value_or(slots));
}

}  // namespace mangohold
