#include "peer/zone_watchers.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/numbers.h"
#include "peer/delegates.h"

namespace mangohold {
namespace {

// The watcher and the standby.
constexpr std::size_t kServingPerZone = 2;
constexpr Millis kConnectTimeout{300};
// Changes of some seconds. Past it the store is asked itself, page by page.
constexpr MaxBody kMaxRelayed{8U << 20U};

}  // namespace

void WatcherSelector::SetAlive(const std::vector<Member>& alive) {
  watchers_.clear();
  is_watcher_ = false;
  is_standby_ = false;
  const auto entries = static_cast<int>(alive.size()) + 1;
  if (entries <= options_.max_direct_followers) return;
  std::map<InstanceId, Member> zone = {{options_.self.id, options_.self}};
  std::vector<InstanceId> ids = {options_.self.id};
  for (const Member& member : alive) {
    if (member.zone != options_.self.zone) continue;
    zone[member.id] = member;
    ids.push_back(member.id);
  }
  const auto serving = SelectDelegates(std::move(ids), kServingPerZone);
  const auto own = std::ranges::find(serving, options_.self.id);
  is_watcher_ = own == serving.begin();
  is_standby_ = own != serving.end() && !is_watcher_;
  // The standby polls only the watcher, and the watcher polls nobody, so there
  // are no cycles.
  for (auto id = serving.begin(); id != own; ++id) {
    watchers_.push_back(zone.at(*id));
  }
}

std::optional<Member> WatcherSelector::Select(TimePoint now) const {
  const auto watcher =
      std::ranges::find_if(watchers_, [&](const Member& member) {
        const auto avoided = avoided_until_.find(member.id);
        return avoided == avoided_until_.end() || avoided->second <= now;
      });
  if (watcher == watchers_.end()) return std::nullopt;
  return *watcher;
}

void WatcherSelector::OnFailed(const InstanceId& watcher, TimePoint now) {
  std::erase_if(avoided_until_,
                [now](const auto& item) { return item.second <= now; });
  avoided_until_[watcher] = now + options_.failure_backoff;
}

ZoneWatchers::ZoneWatchers(HttpClient& http, const Options& options,
                           LongPollQueue::Source source)
    : http_(http),
      poll_timeout_(options.long_polls.timeout),
      selector_(options.selector),
      long_polls_(options.long_polls, std::move(source)) {}

bool ZoneWatchers::Watch(Revision after, OnEvents on_events) {
  const auto watcher = selector_.Select(BootNow());
  LogSource(watcher ? watcher->id : InstanceId());
  if (!watcher) return false;
  const std::string url = "http://" + watcher->admin.value() + kPath +
                          "?after=" + std::to_string(after.packed());
  Fetch(http_,
        {.url = url,
         .connect_timeout = kConnectTimeout,
         .timeout = poll_timeout_},
        kMaxRelayed,
        [this, id = watcher->id,
         on_events = std::move(on_events)](const HttpResponse& response) {
          const bool is_whole = response.result == HttpResult::kComplete &&
                                response.status == 200;
          auto relayed =
              is_whole ? DecodeRelayed(response.body)
                       : absl::StatusOr<RelayedEvents>(absl::UnavailableError(
                             "no valid response from " + id.value()));
          if (!relayed.ok()) {
            selector_.OnFailed(id, BootNow());
            Log(LogLevel::kInfo, "watcher_failed",
                {{"watcher", id.value()}, {"status", response.status}});
          }
          on_events(std::move(relayed));
        });
  return true;
}

void ZoneWatchers::LogSource(const InstanceId& watcher) {
  if (std::exchange(source_watcher_, watcher) == watcher) return;
  Log(LogLevel::kInfo, "store_followed",
      {{"through", watcher.value()},
       {"watcher", static_cast<int>(selector_.IsWatcher())}});
}

void ZoneWatchers::OnPollRequest(
    const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
  const auto after = ParseInteger(request.QueryValue("after"));
  if (!after || *after < 0) return exchange->Reply(400, {}, "no revision\n");
  const auto reply = [exchange](const std::optional<RelayedEvents>& relayed) {
    if (!relayed) return exchange->Reply(410, {}, "not known here\n");
    exchange->Reply(200, {{"Content-Type", "application/cbor"}},
                    EncodeRelayed(*relayed));
  };
  const bool is_taken =
      selector_.IsServing() &&
      long_polls_.Add(Revision::FromPacked(*after), BootNow(), reply);
  if (!is_taken) exchange->Reply(503, {}, "not a watcher\n");
}

}  // namespace mangohold
