// What befalls the backend servers of a soak, their links and their list, as a
// seed says, one trouble after the other.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "core/random.h"
#include "direct_site.h"

namespace mangohold::testing {

// Backend servers of a soak. All but the last one are reached by relays; the
// last one changes in the list.
inline constexpr int kSoakBackends = 4;
// Sizes of the answers that backend servers give by a status of their own. An
// entry gathers 1 MiB: the end of the second one comes in the read that goes
// beyond that.
inline constexpr std::array<std::size_t, 3> kOwnBodyBytes = {0, 1'050'000,
                                                             2U << 20U};

class SiteTroubles {
 public:
  SiteTroubles(DirectSite& site, std::uint64_t seed)
      : site_(site), random_(seed ^ kOwnSequence) {}

  void PutRelays();
  // Until `is_over`.
  void Run(const std::atomic<bool>& is_over);
  void MendAll();
  // Each trouble with its count.
  std::string Summary() const;

  enum class Trouble {
    kCut,            // both sides see it
    kStall,          // held back in both directions, and let go later
    kStallRequests,  // the same in one direction
    kStallAnswers,
    kReset,       // within whatever is on the way
    kDrain,       // a backend server leaves, or is back at its own address
    kReplace,     // another backend server takes over an address
    kDeployment,  // a new version
    kRouteGone,   // a version without the callers' route, and one with it
    kZoneOut,     // and back
    kMend,
    kCount
  };
  static constexpr auto kTroubles = static_cast<std::size_t>(Trouble::kCount);

 private:
  // Keeps the draws of this class apart from the soak's own.
  static constexpr std::uint64_t kOwnSequence = 0x5eed;

  int Below(int bound) {
    return static_cast<int>(random_.Below(static_cast<unsigned>(bound)));
  }
  void Pause(int min_ms, int spread_ms);
  void ChooseManner(BackendStandin& backend);
  void Inject(Trouble trouble);

  DirectSite& site_;
  Random random_;
  std::vector<std::unique_ptr<Relay>> links_;
  std::array<int, kTroubles> counts_{};
  int version_ = 1;
};

}  // namespace mangohold::testing
