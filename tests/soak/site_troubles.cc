#include "soak/site_troubles.h"

#include <sstream>
#include <string_view>
#include <thread>

namespace mangohold::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, SiteTroubles::kTroubles> kTroubleNames =
    {"cut",   "stall",   "stall_requests", "stall_answers", "reset",
     "drain", "replace", "deployment",     "route_gone",    "zone_out",
     "mend"};

// Statuses that a backend server may give to what it has run.
constexpr std::array kOwnStatuses = {200, 408, 429, 503};

constexpr std::array kManners = {
    Manner::kAnswer,       Manner::kAnswer,       Manner::kAnswer,
    Manner::kReject,       Manner::kDropLate,     Manner::kRepeatRefusal,
    Manner::kRefuseAndRun, Manner::kMisdirected,  Manner::kError,
    Manner::kCutAnswer,    Manner::kExtraAnswer,  Manner::kEndless,
    Manner::kLateAnswer,   Manner::kCloseUnasked, Manner::kLateReject,
    Manner::kInterim,      Manner::kForeignFirst, Manner::kShortIdleTime};
// Of a hundred draws, those for a status that a backend server gives after a
// run: they have many sizes and ends.
constexpr int kStatusPercent = 35;

}  // namespace

void SiteTroubles::PutRelays() {
  for (int i = 0; i + 1 < kSoakBackends; ++i) {
    links_.push_back(site_.PutRelayBefore(i));
  }
}

void SiteTroubles::Pause(int min_ms, int spread_ms) {
  std::this_thread::sleep_for(milliseconds(min_ms + Below(spread_ms)));
}

void SiteTroubles::Run(const std::atomic<bool>& is_over) {
  while (!is_over) {
    ChooseManner(site_.backend(Below(kSoakBackends)));
    // One of two draws mends, so that work is served between troubles.
    const bool mends = Below(2) == 0;
    Inject(mends
               ? Trouble::kMend
               : static_cast<Trouble>(Below(static_cast<int>(Trouble::kMend))));
    Pause(30, 300);
  }
}

void SiteTroubles::ChooseManner(BackendStandin& backend) {
  if (Below(100) >= kStatusPercent) {
    return backend.SetManner(
        kManners[static_cast<std::size_t>(Below(kManners.size()))]);
  }
  backend.SetStatus(
      kOwnStatuses[static_cast<std::size_t>(Below(kOwnStatuses.size()))],
      kOwnBodyBytes[static_cast<std::size_t>(Below(kOwnBodyBytes.size()))],
      /*is_cut=*/Below(3) == 0);
}

void SiteTroubles::Inject(Trouble trouble) {
  ++counts_[static_cast<std::size_t>(trouble)];
  Relay& link = *links_[static_cast<std::size_t>(Below(kSoakBackends - 1))];
  constexpr int kListed = kSoakBackends - 1;
  switch (trouble) {
    case Trouble::kCut:
      return link.Cut();
    case Trouble::kStall:
      return link.Stall();
    case Trouble::kStallRequests:
      return link.StallRequests();
    case Trouble::kStallAnswers:
      return link.StallAnswers();
    case Trouble::kReset:
      return link.Reset();
    case Trouble::kDrain:
      return site_.ListBackend(kListed, Below(2) == 0 ? "draining" : "ready");
    case Trouble::kReplace:
      return site_.ReplaceBackend(kListed);
    case Trouble::kDeployment:
      return site_.PutDeployment(++version_);
    case Trouble::kRouteGone:
      site_.PutDeploymentWithout("once", ++version_);
      Pause(50, 300);
      return site_.PutDeployment(++version_);
    case Trouble::kZoneOut:
      site_.store().Put("op/evacuate/north", "{}");
      Pause(50, 300);
      return site_.store().Remove("op/evacuate/north");
    case Trouble::kMend:
    case Trouble::kCount:
      return MendAll();
  }
}

void SiteTroubles::MendAll() {
  for (const auto& link : links_) link->Mend();
}

std::string SiteTroubles::Summary() const {
  std::ostringstream text;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    text << kTroubleNames[i] << ' ' << counts_[i] << ' ';
  }
  return text.str();
}

}  // namespace mangohold::testing
