// Which requests an entry that leaves still sends to backends, lets wait, or
// refuses so that callers can try other entries.
#include <gtest/gtest.h>

#include "routing/dispatcher.h"

namespace mangohold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kDesk("desk");
constexpr int kSlots = 2;

// One entry and one backend, in virtual time. The entry leaves at `begin_`.
class DispatcherLeavingTest : public testing::Test {
 protected:
  DispatcherLeavingTest() : dispatcher_({.zone = ZoneName("north")}) {
    dispatcher_.SetServices({{.name = kDesk}});
    dispatcher_.SetBackends({{.id = InstanceId("d0"),
                              .service = kDesk,
                              .zone = ZoneName("north"),
                              .slots = kSlots}});
  }

  void Leave() { dispatcher_.BeginLeaving(begin_ + kWait, begin_ + kEnd); }

  AttemptNumber Submit(bool is_repeatable, seconds deadline) {
    last_ = last_.Next();
    dispatcher_.Submit({.number = last_,
                        .service = kDesk,
                        .start_deadline = now_ + deadline,
                        .deadline = now_ + deadline,
                        .is_repeatable = is_repeatable});
    return last_;
  }

  enum class Fate { kWaits, kIsSent, kIsRefused };

  // What becomes of the newest request now.
  Fate Decide() {
    for (const auto& decision : dispatcher_.Decide(now_)) {
      if (decision.number != last_) continue;
      newest_ = decision;
      return decision.backend ? Fate::kIsSent : Fate::kIsRefused;
    }
    return Fate::kWaits;
  }

  // Serves a request that takes `time`.
  void Serve(milliseconds time) {
    const AttemptNumber number = Submit(true, seconds(60));
    ASSERT_EQ(Decide(), Fate::kIsSent);
    now_ += time;
    dispatcher_.OnEnded(number, Dispatcher::Result::kServed, now_);
  }

  void FillSlots() {
    for (int i = 0; i < kSlots; ++i) {
      Submit(true, seconds(60));
      ASSERT_EQ(Decide(), Fate::kIsSent);
    }
  }

  static constexpr seconds kWait{5};
  static constexpr seconds kEnd{7};
  TimePoint now_ = TimePoint() + seconds(100);
  TimePoint begin_ = now_;
  AttemptNumber last_;
  Dispatcher::Decision newest_;
  Dispatcher dispatcher_;
};

TEST_F(DispatcherLeavingTest, SendsWhatItsDeadlineEndsInTime) {
  Leave();
  Submit(/*is_repeatable=*/false, seconds(6));
  EXPECT_EQ(Decide(), Fate::kIsSent);
}

// Without any experience of the service, work that may run only once is left to
// other entries.
TEST_F(DispatcherLeavingTest, RefusesUnknownWorkThatMayRunOnlyOnce) {
  Leave();
  Submit(/*is_repeatable=*/false, seconds(30));
  EXPECT_EQ(Decide(), Fate::kIsRefused);
  EXPECT_EQ(newest_.reason, Reason::kEntryLeaving);
  Submit(/*is_repeatable=*/true, seconds(30));
  EXPECT_EQ(Decide(), Fate::kIsSent);
}

// The slow requests count, not the mean.
TEST_F(DispatcherLeavingTest, RefusesWorkThatWasSeenToTakeTooLong) {
  Serve(seconds(4));
  for (int i = 0; i < 3; ++i) Serve(milliseconds(10));
  begin_ = now_;
  Leave();
  Submit(/*is_repeatable=*/false, seconds(30));
  EXPECT_EQ(Decide(), Fate::kIsSent);
  now_ = begin_ + seconds(6);
  Submit(/*is_repeatable=*/false, seconds(30));
  EXPECT_EQ(Decide(), Fate::kIsRefused);
  EXPECT_EQ(newest_.reason, Reason::kEntryLeaving);
}

TEST_F(DispatcherLeavingTest, WaitingEndsWhileCallersCanStillTryElsewhere) {
  Serve(milliseconds(10));
  FillSlots();
  begin_ = now_;
  Submit(/*is_repeatable=*/true, seconds(30));
  EXPECT_EQ(Decide(), Fate::kWaits);
  Leave();
  EXPECT_EQ(Decide(), Fate::kWaits);
  now_ = begin_ + kWait - milliseconds(1);
  EXPECT_EQ(Decide(), Fate::kWaits);
  now_ = begin_ + kWait;
  EXPECT_EQ(Decide(), Fate::kIsRefused);
  EXPECT_EQ(newest_.reason, Reason::kEntryLeaving);
  EXPECT_LE(newest_.retry_after, milliseconds(100));
}

}  // namespace
}  // namespace mangohold
