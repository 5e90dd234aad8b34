#include "caller/entry_control.h"

#include <algorithm>
#include <utility>

#include "core/log.h"
#include "core/stable_hash.h"
#include "routing/address_choice.h"

namespace mangohold {
namespace {

constexpr Millis kTick{200};
constexpr Millis kLeaseTtl{6'000};
constexpr Millis kLeaseRenewal{2'000};
constexpr Millis kPeerTimeout{800};
// The store's items are up to 1 MiB large.
constexpr MaxBody kMaxDeployment{2U << 20U};
constexpr char kDeploymentPath[] = "/deployment";
constexpr int kMostAdminConnections = 256;

}  // namespace

EntryControl::EntryControl(EventLoop& loop, Store& store, HttpClient& http,
                           Options options, Handlers handlers,
                           Counters& counters)
    : loop_(loop),
      counters_(counters),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      builder_(
          options_.schema,
          {.on_departure =
               [this](const BackendDeparture& news) { OnDeparture(news); },
           .on_ignored =
               [this] { counters_.Count(Event::kBackendEntriesIgnored); }}),
      follower_(
          loop, store,
          {.ignored_prefixes = {options_.schema.leader_prefix,
                                options_.schema.demand_prefix}},
          {.on_changed = [this](const auto& keys) { OnChanged(keys); },
           .on_confirmed = [this](TimePoint as_of) { OnConfirmed(as_of); }}),
      watchers_(
          http,
          {.selector = {.self = options_.self,
                        .max_direct_followers =
                            options_.most_direct_followers}},
          [this](Revision after) { return follower_.EventsSince(after); }),
      lease_(
          loop, store,
          {.on_renewed = [this](TimePoint sent) { contact_.OnAnswered(sent); },
           .key = options_.schema.member_prefix + options_.self.id.value(),
           .value = EncodeMember(options_.self),
           .ttl = kLeaseTtl,
           .renewal_interval = kLeaseRenewal}),
      ready_(loop.io(),
             HttpServer::SmallRequests(options_.ready_address,
                                       kMostAdminConnections, counters),
             options_.calls.ready([this] { return IsReady(); })),
      directory_(loop.io(),
                 HttpServer::SmallRequests(options_.directory_address,
                                           kMostAdminConnections, counters),
                 options_.calls.directory([this](const auto& question) {
                   return Answer(question);
                 })),
      admin_(loop.io(),
             HttpServer::SmallRequests(options_.self.admin,
                                       kMostAdminConnections, counters),
             [this](const HttpRequest& request,
                    const std::shared_ptr<HttpExchange>& exchange) {
               HandleAdmin(request, exchange);
             }),
      http_(http) {
  store.AddEraListener([this] { contact_.OnRestored(BootNow()); });
}

absl::Status EntryControl::Start() {
  for (HttpServer* server : {&ready_, &directory_, &admin_}) {
    absl::Status status = server->Listen();
    if (!status.ok()) return status;
  }
  follower_.SetRelay(watchers_);
  follower_.Start();
  lease_.Start();
  loop_.Every(kTick, [this] { Tick(); });
  return absl::OkStatus();
}

void EntryControl::OnChanged(const std::vector<std::string>& keys) {
  const bool is_new =
      builder_.OnChanged(keys, follower_.replica(), contact_, BootNow());
  if (is_new) Publish();
  watchers_.AnswerDue();
  const std::string own =
      options_.schema.member_prefix + options_.self.id.value();
  const bool is_missing = std::ranges::find(keys, own) != keys.end() &&
                          follower_.replica().Find(own) == nullptr;
  if (is_missing) lease_.OnMissing();
}

// The store can't have acknowledged it before the last confirmation, by which
// this entry knew all changes until then.
void EntryControl::OnDeparture(const BackendDeparture& news) {
  const DepartureWay way = watchers_.source().empty() ? DepartureWay::kStore
                                                      : DepartureWay::kWatcher;
  const Duration lag =
      BootNow() - follower_.confirmed_as_of() + news.retained_for;
  counters_.CountDeparture(way);
  counters_.Record(Timing::kDeparture, lag);
  Log(LogLevel::kInfo, "backend_departed",
      {{"backend", news.backend.value()},
       {"removed", static_cast<int>(news.is_removed)},
       {"way", Name(way)},
       {"through", watchers_.source().value()},
       {"revision", follower_.replica().revision().number()},
       {"known_within_ms", ToMillis(lag)},
       {"kept_ms", ToMillis(news.retained_for)}});
}

void EntryControl::OnPeerConfirmed(TimePoint as_of) {
  contact_.OnAnswered(as_of);
  confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
  handlers_.on_deployment_confirmed(confirmed_as_of_);
}

void EntryControl::OnConfirmed(TimePoint as_of) {
  OnPeerConfirmed(as_of);
  handlers_.on_all_confirmed(follower_.confirmed_as_of());
}

void EntryControl::Tick() {
  watchers_.AnswerDue();
  const Revision at = follower_.replica().revision();
  if (builder_.OnTimer(at, contact_, BootNow())) Publish();
}

void EntryControl::Publish() { handlers_.on_view(builder_.View()); }

bool EntryControl::IsReady() const {
  return !is_leaving_ && builder_.routes() != nullptr &&
         BootNow() - confirmed_as_of_ <= options_.confirmation_limit;
}

void EntryControl::SetAlive(std::vector<Member> alive) {
  alive_ = std::move(alive);
  watchers_.SetAlive(alive_);
}

void EntryControl::HandleAdmin(const HttpRequest& request,
                               const std::shared_ptr<HttpExchange>& exchange) {
  if (request.path == ZoneWatchers::kPath) {
    watchers_.OnPollRequest(request, exchange);
  } else if (request.path == kDeploymentPath) {
    exchange->Reply(builder_.routes() == nullptr ? 503 : 200, {},
                    builder_.deployment_text());
  } else {
    exchange->Reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                    counters_.PrometheusText());
  }
}

// Takes the deployment from a peer that has a newer one: the store may turn
// this entry away while it serves the others.
void EntryControl::FetchDeployment(const Member& peer) {
  if (std::exchange(is_fetching_, true)) return;
  Fetch(http_,
        {.url = "http://" + peer.admin.value() + kDeploymentPath,
         .connect_timeout = kPeerTimeout,
         .timeout = kPeerTimeout},
        kMaxDeployment, [this](const HttpResponse& response) {
          is_fetching_ = false;
          const bool is_usable = response.result == HttpResult::kComplete &&
                                 response.status == 200;
          if (!is_usable) return;
          const bool is_new = builder_.ApplyDeployment(
              {.key = options_.schema.deployment_key, .value = response.body});
          if (is_new) Publish();
        });
}

// Chooses among the entries that live. An entry that hears none of its peers
// names those that the store lists. The choice differs by caller and by the
// entry that is asked: callers behind one address get different answers at
// different entries.
DirectoryAnswer EntryControl::Answer(const DirectoryQuestion& question) const {
  std::vector<Member> entries = alive_;
  if (entries.empty()) {
    entries = builder_.Members();
    std::erase_if(entries, [this](const Member& member) {
      return member.role != MemberRole::kEntry || member.id == options_.self.id;
    });
  }
  if (!is_leaving_) entries.push_back(options_.self);
  AddressCandidates candidates;
  for (const Member& entry : entries) {
    candidates.push_back({.id = entry.id.value(),
                          .zone = entry.zone.value(),
                          .capacity = entry.cpu_share});
  }
  const std::uint64_t seed = MixedHash(StableHash(options_.self.id.value())) ^
                             StableHash(question.remote_ip);
  DirectoryAnswer answer{.max_age = options_.address_max_age};
  for (const std::size_t place : ChooseAddresses(
           candidates,
           {.zone = question.zone.value(), .seed = seed, .now = BootNow()})) {
    answer.addresses.push_back(entries[place].caller);
  }
  return answer;
}

void EntryControl::BeginLeaving() {
  is_leaving_ = true;
  lease_.Release();
}

}  // namespace mangohold
